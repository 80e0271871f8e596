package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"egretproxy/internal/admission/targetpool"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/request/refusal"
	"egretproxy/internal/target/stream"
	"egretproxy/internal/wire/header"
)

const (
	// maxAttempts bounds the dispatches of one request.
	maxAttempts = 6
	// budgetPollInterval is the time between two looks at an empty retry budget.
	budgetPollInterval = 100 * time.Millisecond
)

// newExchange is one admitted request on its way to an answer.
type exchange struct {
	*Entry
	w           http.ResponseWriter
	r           *http.Request
	admitted    *admittedRequest
	poolRequest targetpool.Request
	// atMostOnce tells that the request may not be repeated.
	atMostOnce bool
	claim      *claim

	attemptCount int
	// mayHaveRun tells that an earlier try may have reached its target.
	mayHaveRun bool
	// headerSent tells that a part of the answer was sent to the caller, from
	// the bundle in need.Bundle.
	headerSent bool
	// events is the parts of the stream that the caller has.
	events int
}

// attemptResult is the result of one dispatch.
type attemptResult struct {
	// refusal is nil after a whole answer.
	refusal *refusal.Refusal
	// final tells that no further try can help.
	final bool
}

func (e *Entry) newExchange(w http.ResponseWriter, r *http.Request, c *admittedRequest) *exchange {
	return &exchange{Entry: e, w: w, r: r, admitted: c}
}

// run brings the request to an answer or a refusal.
func (x *exchange) run() {
	x.budget.RecordRequest()
	ctx, cancel := context.WithTimeout(x.context(), x.cfg.Entry.RequestTimeout.Std())
	defer cancel()
	ref := x.attempts(ctx)
	if ref == nil {
		return
	}
	x.releaseUnrun(ref)
	if x.r.Context().Err() != nil {
		x.metrics.Count("CallerGone")
		panic(http.ErrAbortHandler)
	}
	if x.headerSent {
		x.abortStream(ref)
		return
	}
	x.refuse(x.w, x.admitted.id, ref)
}

// context ends with the caller, except for requests that may not be
// repeated: those run to their end, so that a resend finds the outcome.
func (x *exchange) context() context.Context {
	if x.atMostOnce {
		return context.WithoutCancel(x.r.Context())
	}
	return x.r.Context()
}

func (x *exchange) attempts(ctx context.Context) *refusal.Refusal {
	if ref, replayed := x.acquireClaim(ctx); ref != nil || replayed {
		return ref
	}
	var last *refusal.Refusal
	until := time.Now().Add(x.cfg.Entry.MaxWait.Std())
	for x.attemptCount < maxAttempts {
		if x.attemptCount > 0 && !x.mayRetry(ctx, last, until) {
			return x.withOutcome(refusal.Unavailable(refusal.RetryBudget, "too many retries: "+string(last.Reason), minRetryAfter))
		}
		grant, ref := x.targetPool.Acquire(ctx, x.poolRequest)
		if ref != nil {
			return x.withOutcome(ref)
		}
		if ref := x.checkClaimAge(); ref != nil {
			grant.Cancelled()
			return x.withOutcome(ref)
		}
		x.attemptCount++
		t := x.dispatch(ctx, grant)
		if t.refusal == nil {
			return nil
		}
		if t.final || ctx.Err() != nil {
			return x.withOutcome(t.refusal)
		}
		last = t.refusal
		x.metrics.CountReason("Retry", string(last.Reason))
		x.poolRequest.Retry = true
	}
	return x.withOutcome(last)
}

// mayRetry takes a retry from the budget. A request that certainly did not run
// waits for one.
func (x *exchange) mayRetry(ctx context.Context, last *refusal.Refusal, until time.Time) bool {
	for !x.budget.TakeRetry() {
		if last.Outcome != refusal.NotRun || time.Now().After(until) || ctx.Err() != nil {
			return false
		}
		time.Sleep(budgetPollInterval)
	}
	return true
}

// withOutcome turns a refusal of the last try into one of the whole request.
func (x *exchange) withOutcome(ref *refusal.Refusal) *refusal.Refusal {
	out := *ref
	if x.mayHaveRun {
		out.Outcome = refusal.Unknown
	}
	out.NoRetry = x.atMostOnce && out.Outcome != refusal.NotRun
	return &out
}

// abortStream ends a stream that can't be resumed with an event that says so,
// and without the event that marks the end of a whole stream.
func (x *exchange) abortStream(ref *refusal.Refusal) {
	x.metrics.CountReason("StreamCutOff", string(ref.Reason))
	body := ref.Body(x.admitted.id)
	_, _ = x.w.Write(append(append([]byte("data: "), encode(body)...), '\n', '\n'))
	_ = http.NewResponseController(x.w).Flush()
}

// exclude leaves a target out of further tries.
func (x *exchange) exclude(t id.Target) {
	if x.poolRequest.Exclude == nil {
		x.poolRequest.Exclude = map[id.Target]bool{}
	}
	x.poolRequest.Exclude[t] = true
}

// writeHeader sends the head of an answer to the caller.
func (x *exchange) writeHeader(answer *http.Response) {
	h := x.w.Header()
	for k, v := range answer.Header {
		if !internalHeaders[k] {
			h[k] = v
		}
	}
	h.Set(header.RequestID, string(x.admitted.id))
	x.w.WriteHeader(answer.StatusCode)
}

// internalHeaders is the headers between agents and entries, which callers do not see.
var internalHeaders = map[string]bool{
	header.Load: true, header.Outcome: true, header.Reason: true,
	"Connection": true, "Transfer-Encoding": true, "Keep-Alive": true,
}

// recordLoad reads the load that rides on an agent's answer.
func recordLoad(g *targetpool.Grant, h http.Header) {
	used, limit, ok := parseLoad(h.Get(header.Load))
	if ok {
		g.ReportLoad(used, limit)
	}
}

func parseLoad(text string) (used, limit int, ok bool) {
	for i := range len(text) {
		if text[i] != '/' {
			continue
		}
		used, err1 := strconv.Atoi(text[:i])
		limit, err2 := strconv.Atoi(text[i+1:])
		return used, limit, err1 == nil && err2 == nil
	}
	return 0, 0, false
}

// newInspector returns the check for a stream of the bundle.
func newInspector(answer *http.Response) *stream.Inspector {
	return &stream.Inspector{Version: answer.Header.Get(header.Bundle)}
}
