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
	"egretproxy/internal/wire/header"
	"egretproxy/internal/wire/passage"
)

const (
	// maxAnswer bounds an answer that is held until it is whole.
	maxAnswer     = 8 << 20
	readBytes     = 32 << 10
	minRetryAfter = 1 * time.Second
	eventsType    = "text/event-stream"
)

// dispatch sends the request to the agent of the granted target and passes
// the answer on.
func (x *exchange) dispatch(ctx context.Context, g *targetpool.Grant) try {
	ctx, watch, done := x.watchdog.watch(ctx, g.Target.Address)
	defer done()
	out, err := x.outgoing(ctx, g)
	if err != nil {
		g.Cancelled()
		return try{refusal: refusal.New(http.StatusBadRequest, refusal.BadRequest, err.Error()), final: true}
	}
	client := x.client
	if x.once {
		client = x.single
	}
	answer, err := client.Do(out.Request)
	if err != nil {
		return x.unanswered(ctx, g, err, out.Connected())
	}
	defer func() { _ = answer.Body.Close() }()
	watch.touch()
	noteLoad(g, answer.Header)
	if ref, ok := refusal.FromHeader(answer.Header, answer.StatusCode); ok {
		return x.refusedBy(g, ref)
	}
	if echo := answer.Header.Get(header.RequestID); echo != string(x.caller.request) {
		x.mayHaveRun = true
		g.Failed()
		return x.lost(refusal.AnswerCrossed, "agent answered another request")
	}
	if strings.HasPrefix(answer.Header.Get("Content-Type"), eventsType) {
		return x.passStream(ctx, g, answer, watch)
	}
	return x.passWhole(ctx, g, answer)
}

// outgoing builds the request to the agent.
func (x *exchange) outgoing(ctx context.Context, g *targetpool.Grant) (*passage.Passage, error) {
	u := &url.URL{Scheme: x.scheme(), Host: g.Target.Address}
	u, err := u.Parse(header.DispatchPath + x.r.URL.EscapedPath())
	if err != nil {
		return nil, errors.Wrap(err, "target path")
	}
	out, err := passage.New(ctx, x.r, u, x.caller.body, x.once)
	if err != nil {
		return nil, err
	}
	x.setHeaders(out.Request.Header)
	return out, nil
}

func (x *exchange) setHeaders(h http.Header) {
	h.Set(header.RequestID, string(x.caller.request))
	h.Set(header.Organisation, string(x.caller.organisation))
	h.Set(header.Priority, strconv.Itoa(x.caller.limits.Priority))
	h.Set(header.Attempt, string(id.NewRequest()))
	if x.need.Model != "" {
		h.Set(header.Model, string(x.need.Model))
	}
	if x.need.Bundle != "" {
		h.Set(header.PinBundle, string(x.need.Bundle))
	}
	if x.events > 0 {
		h.Set(header.ResumeTokens, strconv.Itoa(x.events))
	}
	if x.once {
		h.Set(header.Once, "1")
	}
}

// unanswered handles a dispatch to which no answer began.
func (x *exchange) unanswered(ctx context.Context, g *targetpool.Grant, err error, connected bool) try {
	gone := errors.Is(context.Cause(ctx), errAgentGone)
	if ctx.Err() != nil && !gone {
		g.Cancelled()
		x.mayHaveRun = x.mayHaveRun || connected
		return try{refusal: refusal.UnknownOutcome(refusal.TargetFailed, "request ended before its answer"), final: true}
	}
	g.Failed()
	x.exclude(g.Target.ID)
	if !connected {
		return try{refusal: refusal.Unavailable(refusal.AgentUnreachable, "target can't be reached", minRetryAfter)}
	}
	x.mayHaveRun = true
	return x.lost(refusal.AgentUnreachable, "target's agent gave no answer: "+err.Error())
}

// lost ends a try whose outcome is unknown. Only requests that may be
// repeated are tried again.
func (x *exchange) lost(reason refusal.Reason, text string) try {
	return try{refusal: refusal.UnknownOutcome(reason, text), final: x.once}
}

// refusedBy handles the refusal of an agent.
func (x *exchange) refusedBy(g *targetpool.Grant, ref *refusal.Refusal) try {
	if ref.Outcome == refusal.NotRun {
		g.Refused(ref.Reason)
		return try{refusal: ref, final: ref.Reason == refusal.BadRequest}
	}
	g.Failed()
	x.exclude(g.Target.ID)
	x.mayHaveRun = true
	return x.lost(ref.Reason, ref.Message)
}

// passWhole holds an answer until it is complete and passes it on.
func (x *exchange) passWhole(ctx context.Context, g *targetpool.Grant, answer *http.Response) try {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer+1))
	if err != nil {
		x.mayHaveRun = true
		return x.brokenAnswer(ctx, g, err)
	}
	g.Answered()
	x.settle(answer, body)
	x.begin(answer)
	if _, err := x.w.Write(body); err != nil {
		return try{}
	}
	if len(body) <= maxAnswer {
		return try{}
	}
	if _, err := io.Copy(x.w, answer.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	return try{}
}

func (x *exchange) brokenAnswer(ctx context.Context, g *targetpool.Grant, err error) try {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errAgentGone) {
		g.Cancelled()
		return try{refusal: refusal.UnknownOutcome(refusal.AnswerBroken, "request ended before its answer"), final: true}
	}
	g.Failed()
	x.exclude(g.Target.ID)
	return x.lost(refusal.AnswerBroken, "answer broke off: "+err.Error())
}

// passStream passes events on as they come. A stream that breaks off is
// resumed on the same version by the next try.
func (x *exchange) passStream(ctx context.Context, g *targetpool.Grant, answer *http.Response, watch *watched) try {
	check := inspector(answer)
	x.need.Bundle = id.Bundle(check.Version)
	x.mayHaveRun = true
	buffer := make([]byte, readBytes)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			watch.touch()
			whole, bad := check.Take(buffer[:n])
			if bad != nil {
				g.Failed()
				return try{refusal: refusal.UnknownOutcome(refusal.VersionChanged, bad.Error()), final: true}
			}
			if !x.passEvents(answer, whole) {
				g.Cancelled()
				return try{refusal: refusal.UnknownOutcome(refusal.CallerGone, "caller has gone"), final: true}
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			x.events += check.Events()
			return x.brokenAnswer(ctx, g, err)
		}
	}
	if !check.Whole() {
		x.events += check.Events()
		return x.brokenAnswer(ctx, g, io.ErrUnexpectedEOF)
	}
	g.Answered()
	return try{}
}

// passEvents writes whole events. It reports whether the caller is there.
func (x *exchange) passEvents(answer *http.Response, whole []byte) bool {
	if len(whole) == 0 {
		return true
	}
	if !x.begun {
		x.begin(answer)
		x.begun = true
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
