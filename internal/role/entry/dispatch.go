package entry

import (
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
	// maxBufferedBytes bounds an answer that is held until it is whole.
	maxBufferedBytes = 8 << 20
	readBufferBytes  = 32 << 10
	minRetryAfter    = 1 * time.Second
	eventsType       = "text/event-stream"
)

// dispatch sends the request to the agent of the granted target and passes
// the answer on.
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
	answer, err := client.Do(out.Request)
	if err != nil {
		return x.sendFailed(ctx, g, err, out.Connected())
	}
	defer func() { _ = answer.Body.Close() }()
	watch.touch()
	recordLoad(g, answer.Header)
	if ref, ok := refusal.FromHeader(answer.Header, answer.StatusCode); ok {
		return x.agentRefused(g, ref)
	}
	if echo := answer.Header.Get(header.RequestID); echo != string(x.admitted.id) {
		x.mayHaveRun = true
		g.Failed()
		return x.outcomeUnknown(refusal.AnswerCrossed, "agent answered another request")
	}
	if strings.HasPrefix(answer.Header.Get("Content-Type"), eventsType) {
		return x.forwardStream(ctx, g, answer, watch)
	}
	return x.forwardWhole(ctx, g, answer)
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

// sendFailed handles a dispatch to which no answer began.
func (x *exchange) sendFailed(ctx context.Context, g *targetpool.Grant, err error, connected bool) attemptResult {
	gone := errors.Is(context.Cause(ctx), errAgentUnresponsive)
	if ctx.Err() != nil && !gone {
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
	return x.outcomeUnknown(refusal.AgentUnreachable, "target's agent gave no answer: "+err.Error())
}

// outcomeUnknown ends a try whose outcome is unknown. Only requests that may be
// repeated are tried again.
func (x *exchange) outcomeUnknown(reason refusal.Reason, text string) attemptResult {
	return attemptResult{refusal: refusal.UnknownOutcome(reason, text), final: x.atMostOnce}
}

// agentRefused handles the refusal of an agent.
func (x *exchange) agentRefused(g *targetpool.Grant, ref *refusal.Refusal) attemptResult {
	if ref.Outcome == refusal.NotRun {
		g.Refused(ref.Reason)
		return attemptResult{refusal: ref, final: ref.Reason == refusal.BadRequest}
	}
	g.Failed()
	x.exclude(g.Target.ID)
	x.mayHaveRun = true
	return x.outcomeUnknown(ref.Reason, ref.Message)
}

// forwardWhole holds an answer until it is complete and passes it on.
func (x *exchange) forwardWhole(ctx context.Context, g *targetpool.Grant, answer *http.Response) attemptResult {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedBytes+1))
	if err != nil {
		x.mayHaveRun = true
		return x.responseFailed(ctx, g, err)
	}
	g.Answered()
	x.settleClaim(answer, body)
	x.writeHeader(answer)
	if _, err := x.w.Write(body); err != nil {
		return attemptResult{}
	}
	if len(body) <= maxBufferedBytes {
		return attemptResult{}
	}
	if _, err := io.Copy(x.w, answer.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	return attemptResult{}
}

func (x *exchange) responseFailed(ctx context.Context, g *targetpool.Grant, err error) attemptResult {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errAgentUnresponsive) {
		g.Cancelled()
		return attemptResult{refusal: refusal.UnknownOutcome(refusal.AnswerBroken, "request ended before its answer"), final: true}
	}
	g.Failed()
	x.exclude(g.Target.ID)
	return x.outcomeUnknown(refusal.AnswerBroken, "answer broke off: "+err.Error())
}

// forwardStream passes events on as they come. A stream that breaks off is
// resumed on the same version by the next try.
func (x *exchange) forwardStream(ctx context.Context, g *targetpool.Grant, answer *http.Response, watch *watchedExchange) attemptResult {
	check := newInspector(answer)
	x.poolRequest.Bundle = id.Bundle(check.Version)
	x.mayHaveRun = true
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			watch.touch()
			whole, bad := check.Inspect(buffer[:n])
			if bad != nil {
				g.Failed()
				return attemptResult{refusal: refusal.UnknownOutcome(refusal.VersionChanged, bad.Error()), final: true}
			}
			if !x.forwardEvents(answer, whole) {
				g.Cancelled()
				return attemptResult{refusal: refusal.UnknownOutcome(refusal.CallerGone, "caller has gone"), final: true}
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			x.events += check.Events()
			return x.responseFailed(ctx, g, err)
		}
	}
	if !check.Complete() {
		x.events += check.Events()
		return x.responseFailed(ctx, g, io.ErrUnexpectedEOF)
	}
	g.Answered()
	return attemptResult{}
}

// forwardEvents writes whole events. It reports whether the caller is there.
func (x *exchange) forwardEvents(answer *http.Response, whole []byte) bool {
	if len(whole) == 0 {
		return true
	}
	if !x.headerSent {
		x.writeHeader(answer)
		x.headerSent = true
	}
	if _, err := x.w.Write(whole); err != nil {
		return false
	}
	_ = http.NewResponseController(x.w).Flush()
	return true
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return []byte("{}")
	}
	return data
}
