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
	// maxTries bounds the dispatches of one request.
	maxTries = 6
	// budgetPause is the time between two looks at an empty retry budget.
	budgetPause = 100 * time.Millisecond
)

// exchange is one admitted request on its way to an answer.
type exchange struct {
	*Entry
	w      http.ResponseWriter
	r      *http.Request
	caller *caller
	need   targetpool.Request
	// once tells that the request may not be repeated.
	once  bool
	claim *claim

	tries int
	// mayHaveRun tells that an earlier try may have reached its target.
	mayHaveRun bool
	// begun tells that a part of the answer was sent to the caller, from
	// the bundle in need.Bundle.
	begun bool
	// events is the parts of the stream that the caller has.
	events int
}

// try is the result of one dispatch.
type try struct {
	// refusal is nil after a whole answer.
	refusal *refusal.Refusal
	// final tells that no further try can help.
	final bool
}

func (e *Entry) exchange(w http.ResponseWriter, r *http.Request, c *caller) *exchange {
	return &exchange{Entry: e, w: w, r: r, caller: c}
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
	x.unclaim(ref)
	if x.r.Context().Err() != nil {
		x.metrics.Count("CallerGone")
		panic(http.ErrAbortHandler)
	}
	if x.begun {
		x.breakOff(ref)
		return
	}
	x.refuse(x.w, x.caller.request, ref)
}

// context ends with the caller, except for requests that may not be
// repeated: those run to their end, so that a resend finds the outcome.
func (x *exchange) context() context.Context {
	if x.once {
		return context.WithoutCancel(x.r.Context())
	}
	return x.r.Context()
}

func (x *exchange) attempts(ctx context.Context) *refusal.Refusal {
	if ref, replayed := x.claimOnce(ctx); ref != nil || replayed {
		return ref
	}
	var last *refusal.Refusal
	until := time.Now().Add(x.cfg.Entry.MaxWait.Std())
	for x.tries < maxTries {
		if x.tries > 0 && !x.mayRetry(ctx, last, until) {
			return x.truthful(refusal.Unavailable(refusal.RetryBudget, "too many retries: "+string(last.Reason), minRetryAfter))
		}
		grant, ref := x.pool.Acquire(ctx, x.need)
		if ref != nil {
			return x.truthful(ref)
		}
		if ref := x.checkClaimLife(); ref != nil {
			grant.Cancelled()
			return x.truthful(ref)
		}
		x.tries++
		t := x.dispatch(ctx, grant)
		if t.refusal == nil {
			return nil
		}
		if t.final || ctx.Err() != nil {
			return x.truthful(t.refusal)
		}
		last = t.refusal
		x.metrics.CountReason("Retry", string(last.Reason))
		x.need.Retry = true
	}
	return x.truthful(last)
}

// mayRetry takes a retry from the budget. A request that certainly did not run
// waits for one.
func (x *exchange) mayRetry(ctx context.Context, last *refusal.Refusal, until time.Time) bool {
	for !x.budget.TakeRetry() {
		if last.Outcome != refusal.NotRun || time.Now().After(until) || ctx.Err() != nil {
			return false
		}
		time.Sleep(budgetPause)
	}
	return true
}

// truthful turns a refusal of the last try into one of the whole request.
func (x *exchange) truthful(ref *refusal.Refusal) *refusal.Refusal {
	out := *ref
	if x.mayHaveRun {
		out.Outcome = refusal.Unknown
	}
	out.NoRetry = x.once && out.Outcome != refusal.NotRun
	return &out
}

// breakOff ends a stream that can't be resumed with an event that says so,
// and without the event that marks the end of a whole stream.
func (x *exchange) breakOff(ref *refusal.Refusal) {
	x.metrics.CountReason("StreamCutOff", string(ref.Reason))
	body := ref.Body(x.caller.request)
	_, _ = x.w.Write(append(append([]byte("data: "), encode(body)...), '\n', '\n'))
	_ = http.NewResponseController(x.w).Flush()
}

// exclude leaves a target out of further tries.
func (x *exchange) exclude(t id.Target) {
	if x.need.Exclude == nil {
		x.need.Exclude = map[id.Target]bool{}
	}
	x.need.Exclude[t] = true
}

// begin sends the head of an answer to the caller.
func (x *exchange) begin(answer *http.Response) {
	h := x.w.Header()
	for k, v := range answer.Header {
		if !inner[k] {
			h[k] = v
		}
	}
	h.Set(header.RequestID, string(x.caller.request))
	x.w.WriteHeader(answer.StatusCode)
}

// inner is the headers between agents and entries, which callers do not see.
var inner = map[string]bool{
	header.Load: true, header.Outcome: true, header.Reason: true,
	"Connection": true, "Transfer-Encoding": true, "Keep-Alive": true,
}

// noteLoad reads the load that rides on an agent's answer.
func noteLoad(g *targetpool.Grant, h http.Header) {
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

// inspector returns the check for a stream of the bundle.
func inspector(answer *http.Response) *stream.Inspector {
	return &stream.Inspector{Version: answer.Header.Get(header.Bundle)}
}
