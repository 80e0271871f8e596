package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"egretproxy/internal/admission/targetpool"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/httpserver"
	"egretproxy/internal/request/digest"
	"egretproxy/internal/request/refusal"
	"egretproxy/internal/target/stream"
	"egretproxy/internal/wire/header"
	"egretproxy/internal/wire/reply"
)

const (
	// maxAttempts limits the dispatches of one request.
	maxAttempts = 6
	// budgetPollInterval is the interval between checks of an exhausted retry
	// budget.
	budgetPollInterval = 100 * time.Millisecond
)

// exchange is the state of an admitted request.
type exchange struct {
	*Entry
	reply       reply.Reply
	r           *http.Request
	admitted    *admittedRequest
	poolRequest targetpool.Request
	// atMostOnce is set if the request must not be repeated.
	atMostOnce bool
	claim      *claim
	// digest identifies the request among attempts of callers.
	digest id.PromptPart

	attemptCount int
	// mayHaveRun is set once an earlier attempt may have reached its target.
	mayHaveRun bool
	// events counts the stream events that earlier attempts delivered to the
	// caller.
	events int
}

// attemptResult is the result of one dispatch.
type attemptResult struct {
	// refusal is nil after a complete response.
	refusal *refusal.Refusal
	// final is set if no further attempt can help.
	final bool
	// ended is set if the target, or its agent, ended under the request.
	ended bool
}

func (e *Entry) newExchange(w http.ResponseWriter, r *http.Request, req *admittedRequest) *exchange {
	d := digest.Request{Method: r.Method, Host: r.Host, URI: r.URL.RequestURI(), Organisation: req.organisation, Body: req.body}
	x := &exchange{Entry: e, r: r, admitted: req, digest: d.Digest()}
	x.reply = reply.New(w, func() { e.metrics.CountReason("StreamCutOff", string(refusal.AnswerBroken)) })
	return x
}

// run completes the request with a response or a refusal.
func (x *exchange) run() {
	x.budget.RecordRequest()
	x.reply.LimitTime(time.Now().Add(x.cfg.Entry.RequestTimeout.Std() + stopMargin))
	ctx, cancel := context.WithTimeout(x.context(), x.cfg.Entry.RequestTimeout.Std())
	defer cancel()
	if ref := x.attempts(ctx); ref != nil {
		x.fail(ref)
	}
	x.reply.Close()
}

// fail ends a request without a response from a target.
func (x *exchange) fail(ref *refusal.Refusal) {
	x.releaseUnrun(ref)
	if httpserver.CallerLeft(x.r) {
		x.metrics.Count("CallerGone")
		x.reply.Abort()
	}
	if x.reply.Begun() {
		x.abortStream(ref)
		return
	}
	x.reply.Respond(func(w http.ResponseWriter) { x.refuse(w, x.admitted.id, ref) })
}

// context returns a context that ends when the caller leaves. At-most-once
// requests run to their end instead, so that a repeated request finds the
// outcome.
func (x *exchange) context() context.Context {
	if x.atMostOnce {
		return context.WithoutCancel(x.r.Context())
	}
	return x.r.Context()
}

// callerLeft reports whether the caller of a request that ends with it has left, as
// far as this instance has learnt. The context ends later in a process that lacks
// processor time.
func (x *exchange) callerLeft() bool { return !x.atMostOnce && httpserver.CallerLeft(x.r) }

func (x *exchange) attempts(ctx context.Context) *refusal.Refusal {
	if ref := x.holdBack(); ref != nil {
		return ref
	}
	if ref, replayed := x.acquireClaim(ctx); ref != nil || replayed {
		return ref
	}
	var last *refusal.Refusal
	deadline := time.Now().Add(x.cfg.Entry.MaxWait.Std())
	for x.attemptCount < maxAttempts {
		if x.attemptCount > 0 && !x.mayRetry(ctx, last, deadline) {
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
		if x.callerLeft() {
			grant.Cancelled()
			return x.withOutcome(refusal.UnknownOutcome(refusal.CallerGone, "caller has gone"))
		}
		x.attemptCount++
		sentAt := time.Now()
		result := x.dispatch(ctx, grant)
		if result.refusal == nil {
			x.ends.Served(x.digest)
			return nil
		}
		if x.recordEnd(grant, result, sentAt) || result.final || ctx.Err() != nil || !x.mayContinue() {
			return x.withOutcome(result.refusal)
		}
		last = result.refusal
		x.metrics.CountReason("Retry", string(last.Reason))
		x.poolRequest.Retry = true
	}
	return x.withOutcome(last)
}

// mayContinue reports whether another target can continue what the caller has. A
// plain service can't leave out events that the caller has already.
func (x *exchange) mayContinue() bool { return !x.reply.Begun() || x.poolRequest.Model != "" }

// mayRetry takes a retry from the budget. A request that certainly did not run
// waits for one.
func (x *exchange) mayRetry(ctx context.Context, last *refusal.Refusal, deadline time.Time) bool {
	for !x.budget.TakeRetry() {
		if last.Outcome != refusal.NotRun || time.Now().After(deadline) || ctx.Err() != nil || x.callerLeft() {
			return false
		}
		time.Sleep(budgetPollInterval)
	}
	return true
}

// withOutcome turns the refusal of the last attempt into one of the whole
// request, with the outcome of all attempts.
func (x *exchange) withOutcome(ref *refusal.Refusal) *refusal.Refusal {
	out := *ref
	if x.mayHaveRun {
		out.Outcome = refusal.Unknown
	}
	out.NoRetry = x.atMostOnce && out.Outcome != refusal.NotRun
	return &out
}

// abortStream ends a stream that cannot be resumed with an error event, and
// without the event that marks a complete stream.
func (x *exchange) abortStream(ref *refusal.Refusal) {
	x.metrics.CountReason("StreamCutOff", string(ref.Reason))
	body := ref.Body(x.admitted.id)
	if x.reply.Send(append(append([]byte("data: "), encode(body)...), '\n', '\n')) != nil {
		x.reply.Abort()
	}
	x.reply.End()
}

// exclude excludes a target from further attempts.
func (x *exchange) exclude(t id.Target) {
	if x.poolRequest.Exclude == nil {
		x.poolRequest.Exclude = map[id.Target]bool{}
	}
	x.poolRequest.Exclude[t] = true
}

// copyHeader copies the response header for the caller.
func (x *exchange) copyHeader(h http.Header, response *http.Response) {
	for k, v := range response.Header {
		if !internalHeaders[k] {
			h[k] = v
		}
	}
	h.Set(header.RequestID, string(x.admitted.id))
}

// internalHeaders are the headers between agents and entries that are not
// forwarded to callers.
var internalHeaders = map[string]bool{
	header.Load: true, header.Outcome: true, header.Reason: true,
	"Connection": true, "Transfer-Encoding": true, "Keep-Alive": true,
}

// recordLoad records the load that an agent reports in its response header.
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

// newInspector returns an inspector that checks a stream against the bundle
// version of its header.
func newInspector(response *http.Response) *stream.Inspector {
	return &stream.Inspector{Version: response.Header.Get(header.Bundle)}
}
