package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"egretproxy/internal/admission/targetpool"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/request/refusal"
	"egretproxy/internal/wire/forward"
	"egretproxy/internal/wire/header"
)

const (
	// maxBufferedBytes limits how much of a response is buffered before it is
	// forwarded.
	maxBufferedBytes = 8 << 20
	readBufferBytes  = 32 << 10
	minRetryAfter    = 1 * time.Second
	eventsType       = "text/event-stream"
)

// dispatch sends the request to the agent of the granted target and forwards
// the response.
func (x *exchange) dispatch(ctx context.Context, g *targetpool.Grant) attemptResult {
	ctx, watch, done := x.watchdog.watch(ctx, g.Target.Address)
	defer done()
	out, err := x.outgoing(ctx, g)
	if err != nil {
		g.Cancelled()
		return attemptResult{refusal: refusal.New(http.StatusBadRequest, refusal.BadRequest, err.Error()), final: true}
	}
	client := x.client
	if x.atMostOnce {
		client = x.singleUse
	}
	response, err := client.Do(out.Request)
	if err != nil {
		return x.sendFailed(ctx, g, err, out.Connected())
	}
	defer func() { _ = response.Body.Close() }()
	watch.touch()
	recordLoad(g, response.Header)
	if ref, ok := refusal.FromHeader(response.Header, response.StatusCode); ok {
		return x.agentRefused(g, ref)
	}
	if echo := response.Header.Get(header.RequestID); echo != string(x.admitted.id) {
		x.mayHaveRun = true
		g.Failed()
		return x.outcomeUnknown(refusal.AnswerCrossed, "agent answered another request")
	}
	stream := strings.HasPrefix(response.Header.Get("Content-Type"), eventsType)
	if x.reply.Begun() && (!stream || response.StatusCode >= http.StatusMultipleChoices || response.Header.Get(header.Bundle) != string(x.poolRequest.Bundle)) {
		return x.notContinued(g, response)
	}
	if stream {
		return x.forwardStream(ctx, g, response, watch)
	}
	return x.forwardBuffered(ctx, g, response)
}

// outgoing builds the request to the agent.
func (x *exchange) outgoing(ctx context.Context, g *targetpool.Grant) (*forward.Outgoing, error) {
	u := &url.URL{Scheme: x.scheme(), Host: g.Target.Address}
	u, err := u.Parse(header.DispatchPath + x.r.URL.EscapedPath())
	if err != nil {
		return nil, errors.Wrap(err, "target path")
	}
	out, err := forward.New(ctx, x.r, u, x.admitted.body, x.atMostOnce)
	if err != nil {
		return nil, err
	}
	x.setHeaders(out.Request.Header)
	return out, nil
}

func (x *exchange) setHeaders(h http.Header) {
	h.Set(header.RequestID, string(x.admitted.id))
	h.Set(header.Organisation, string(x.admitted.organisation))
	h.Set(header.Priority, strconv.Itoa(x.admitted.limits.Priority))
	h.Set(header.Attempt, string(id.NewRequest()))
	if x.poolRequest.Model != "" {
		h.Set(header.Model, string(x.poolRequest.Model))
	}
	if x.poolRequest.Bundle != "" {
		h.Set(header.PinBundle, string(x.poolRequest.Bundle))
	}
	if x.events > 0 {
		h.Set(header.ResumeTokens, strconv.Itoa(x.events))
	}
	if x.atMostOnce {
		h.Set(header.Once, "1")
	}
}

// sendFailed handles a dispatch that got no response header.
func (x *exchange) sendFailed(ctx context.Context, g *targetpool.Grant, err error, connected bool) attemptResult {
	unresponsive := errors.Is(context.Cause(ctx), errAgentUnresponsive)
	if ctx.Err() != nil && !unresponsive {
		g.Cancelled()
		x.mayHaveRun = x.mayHaveRun || connected
		return attemptResult{refusal: refusal.UnknownOutcome(refusal.TargetFailed, "request ended before its answer"), final: true}
	}
	g.Failed()
	x.exclude(g.Target.ID)
	if !connected {
		return attemptResult{refusal: refusal.Unavailable(refusal.AgentUnreachable, "target can't be reached", minRetryAfter)}
	}
	x.mayHaveRun = true
	result := x.outcomeUnknown(refusal.AgentUnreachable, "target's agent gave no answer: "+err.Error())
	result.ended = !unresponsive
	return result
}

// outcomeUnknown ends an attempt whose outcome is unknown. Only requests that
// may be repeated are tried again.
func (x *exchange) outcomeUnknown(reason refusal.Reason, text string) attemptResult {
	return attemptResult{refusal: refusal.UnknownOutcome(reason, text), final: x.atMostOnce}
}

// agentRefused handles a refusal by an agent.
func (x *exchange) agentRefused(g *targetpool.Grant, ref *refusal.Refusal) attemptResult {
	if ref.Outcome == refusal.NotRun {
		g.Refused(ref.Reason)
		return attemptResult{refusal: ref, final: ref.Reason == refusal.BadRequest}
	}
	g.Failed()
	x.exclude(g.Target.ID)
	x.mayHaveRun = true
	result := x.outcomeUnknown(ref.Reason, ref.Message)
	result.ended = ref.Reason == refusal.TargetFailed
	return result
}

// notContinued handles an answer that does not continue the stream of which the
// caller has part. The answer says nothing about the health of the target unless
// it is a failure.
func (x *exchange) notContinued(g *targetpool.Grant, response *http.Response) attemptResult {
	if response.StatusCode >= http.StatusInternalServerError {
		g.Failed()
	} else {
		g.Cancelled()
	}
	x.exclude(g.Target.ID)
	return x.outcomeUnknown(refusal.AnswerBroken, "target did not continue the stream: answered "+strconv.Itoa(response.StatusCode))
}

// forwardBuffered buffers a response until it is complete and forwards it.
// Responses longer than maxBufferedBytes, or than the room for them, are streamed from
// there on.
func (x *exchange) forwardBuffered(ctx context.Context, g *targetpool.Grant, response *http.Response) attemptResult {
	body, _, release, err := x.buffers.ReadStart(response.Body, maxBufferedBytes)
	defer release()
	if err != nil {
		x.mayHaveRun = true
		return x.responseFailed(ctx, g, err)
	}
	g.Answered()
	x.settleClaim(response, body)
	x.reply.Begin(response.StatusCode, func(h http.Header) { x.copyHeader(h, response) })
	if x.reply.SendRest(io.MultiReader(bytes.NewReader(body), response.Body)) != nil {
		x.reply.Abort()
	}
	return attemptResult{}
}

// errNoEndMarker means that a stream ended, with its connection in order, before its
// end marker. That is no sign that the target ended.
var errNoEndMarker = errors.Wrap(io.ErrUnexpectedEOF, "no end marker")

func (x *exchange) responseFailed(ctx context.Context, g *targetpool.Grant, err error) attemptResult {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errAgentUnresponsive) {
		g.Cancelled()
		return attemptResult{refusal: refusal.UnknownOutcome(refusal.AnswerBroken, "request ended before its answer"), final: true}
	}
	g.Failed()
	x.exclude(g.Target.ID)
	result := x.outcomeUnknown(refusal.AnswerBroken, "answer broke off: "+err.Error())
	result.ended = err != errNoEndMarker && !errors.Is(context.Cause(ctx), errAgentUnresponsive)
	return result
}

// forwardStream forwards events as they arrive. An interrupted stream is
// resumed on the same version by the next attempt.
func (x *exchange) forwardStream(ctx context.Context, g *targetpool.Grant, response *http.Response, watch *watchedExchange) attemptResult {
	inspector := newInspector(response)
	x.poolRequest.Bundle = id.Bundle(inspector.Version)
	x.mayHaveRun = true
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			watch.touch()
			complete, mismatch := inspector.Inspect(buffer[:n])
			if mismatch != nil {
				g.Failed()
				return attemptResult{refusal: refusal.UnknownOutcome(refusal.VersionChanged, mismatch.Error()), final: true}
			}
			if !x.forwardEvents(response, complete) {
				g.Cancelled()
				return attemptResult{refusal: refusal.UnknownOutcome(refusal.CallerGone, "caller has gone"), final: true}
			}
		}
		if err == io.EOF && !inspector.Complete() {
			err = errNoEndMarker
		}
		if err != nil && inspector.Complete() {
			// The caller has the end marker, however the connection ended.
			break
		}
		if err != nil {
			x.events += inspector.Events()
			return x.responseFailed(ctx, g, err)
		}
	}
	g.Answered()
	x.reply.End()
	return attemptResult{}
}

// forwardEvents writes complete events. It reports whether the caller is still
// connected.
func (x *exchange) forwardEvents(response *http.Response, complete []byte) bool {
	if len(complete) == 0 {
		return true
	}
	if !x.reply.Begun() {
		x.reply.Begin(response.StatusCode, func(h http.Header) { x.copyHeader(h, response) })
	}
	return x.reply.Send(complete) == nil
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return []byte("{}")
	}
	return data
}
