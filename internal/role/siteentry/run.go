package siteentry

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"egretproxy/internal/exchange/dispatch"
	"egretproxy/internal/kernel/httpserver"
)

// maxDialFailures limits how many unreachable targets are tried.
const maxDialFailures = 4

// decision is what to do after an attempt.
type decision uint8

const (
	// done means that the caller has its final response.
	done decision = iota
	// tryNext means that another target may be tried.
	tryNext
)

// run sends the request to targets until one responds.
func (j *job) run(ctx context.Context) {
	defer j.releaseNext()
	defer j.leaveTest()
	j.entry.RetryBudget.RecordRequest(j.service.Name)
	dialFailures := 0
	for {
		if j.comesTooLate() {
			j.abandon(ctx, errStopping)
			return
		}
		if j.shutOut() {
			j.abandon(ctx, errShutOut)
			return
		}
		if j.heldBack() {
			j.abandon(ctx, errHeld)
			return
		}
		req := j.dispatchRequest()
		grant, err := j.acquire(ctx, req)
		if err == dispatch.ErrNoTarget && j.sent == 0 && j.awaitTargets(ctx) {
			continue
		}
		if err != nil {
			j.abandon(ctx, err)
			return
		}
		j.waited += grant.Waited
		if j.comesTooLate() {
			grant.End(dispatch.Cancelled)
			j.abandon(ctx, errStopping)
			return
		}
		if !j.mayDispatch() {
			grant.End(dispatch.Cancelled)
			j.abandon(ctx, errStale)
			return
		}
		if j.minWeights() > req.MinWeights {
			// A newer version became required during the wait.
			grant.End(dispatch.Cancelled)
			continue
		}
		if !j.takeTest(ctx) {
			grant.End(dispatch.Cancelled)
			j.abandon(ctx, errShutOut)
			return
		}
		j.target = grant.Target
		next, outcome, sent := j.try(ctx, grant)
		if next == done {
			return
		}
		j.tried = append(j.tried, grant.Target)
		if sent {
			j.sent++
		} else if dialFailures++; dialFailures >= maxDialFailures {
			j.abandon(ctx, errors.New("targets take no connection"))
			return
		}
		if err := j.awaitClearance(ctx); err != nil {
			j.lastError += ", and " + err.Error()
			j.abandon(ctx, err)
			return
		}
		if !j.mayRetry(ctx, sent) {
			j.abandon(ctx, errors.New(j.lastError))
			return
		}
		j.entry.Metrics.CountReason("Retry", outcomeNames[outcome])
		j.entry.DecisionLog.Record(notableKind, "Request goes to another target", "Request", j.id, "After", grant.Target, "Reason", j.lastError, "Sent", j.sent, "Events", j.events(), "Parts", j.parts)
	}
}

// try makes one attempt and releases the target's slot. It also does so when
// the caller leaves, which aborts the handler with a panic.
func (j *job) try(ctx context.Context, grant *dispatch.Grant) (next decision, outcome dispatch.Outcome, sent bool) {
	outcome = dispatch.Cancelled
	defer func() {
		j.recordBreak(grant)
		if j.showedHarmless() {
			j.entry.witness.RequestServed(j.digest)
		}
		if grant.End(outcome) {
			j.entry.Metrics.CountReason("TargetEjected", outcomeNames[outcome])
			j.entry.DecisionLog.Record(failureKind, "Target is left out for a while", "Target", grant.Target, "Reason", outcomeNames[outcome])
			j.entry.Pool.CloseIdle(grant.Address)
		}
	}()
	j.begunAt, j.harmless, j.whole, j.givenUp, j.brokenBy, j.attemptAt = time.Time{}, false, false, false, nil, time.Now()
	next, outcome, sent = j.attempt(ctx, grant)
	return next, outcome, sent
}

var (
	errStale    = errors.New("configuration is not confirmed")
	errStopping = errors.New("the process stops")
	errLeft     = errors.New("target has left or is out of service")
	errOutdated = errors.New("target's weights are no longer permitted")
)

// mayDispatch checks the confirmation again after a wait or a process
// suspension, since a key must not be used after its revocation.
func (j *job) mayDispatch() bool {
	return j.tenant == nil || j.confirmed()
}

// mayRetry reports whether another target may be tried.
func (j *job) mayRetry(ctx context.Context, sent bool) bool {
	if ctx.Err() != nil || j.outlived || httpserver.CallerLeft(j.r) {
		return false
	}
	if !sent {
		return true
	}
	if j.sent >= max(j.route.MaxAttempts, 1) {
		return false
	}
	if j.retryReserved.Swap(false) {
		return true
	}
	if !j.entry.RetryBudget.TakeRetry(j.service.Name, j.view.Entries) {
		j.entry.Metrics.CountReason("RetryRefused", "Budget")
		j.lastError += ", and the retry budget is spent"
		return false
	}
	return true
}

// releaseNext releases the reserved target, if any.
func (j *job) releaseNext() {
	if g := j.nextTarget.Swap(nil); g != nil {
		g.End(dispatch.Cancelled)
	}
}

// acquire returns the grant reserved for the next attempt, or waits for one.
func (j *job) acquire(ctx context.Context, req *dispatch.Request) (*dispatch.Grant, error) {
	if g := j.nextTarget.Swap(nil); g != nil {
		return g, nil
	}
	return j.entry.Dispatcher.Acquire(ctx, req)
}

// takeoverRequest returns the request for a target that continues where a
// silent one stopped. The target must be able to start at once.
func (j *job) takeoverRequest(silent *dispatch.Grant) *dispatch.Request {
	req := j.dispatchRequest()
	req.MaxWait, req.Interrupted, req.MinWeights = 0, true, max(req.MinWeights, silent.Weights)
	req.Exclude = append(slices.Clone(j.tried), silent.Target)
	return req
}

// reserveNext takes a retry from the budget and a slot at another target, so
// that an attempt is cancelled only in favour of one that can start at once. A
// retry taken from the budget stays reserved if no slot is free.
func (j *job) reserveNext(ctx context.Context, req *dispatch.Request) bool {
	if !j.retryReserved.Load() {
		if !j.entry.RetryBudget.TakeRetry(j.service.Name, j.view.Entries) {
			return false
		}
		j.retryReserved.Store(true)
	}
	next, err := j.entry.Dispatcher.Acquire(ctx, req)
	if err != nil {
		return false
	}
	j.nextTarget.Store(next)
	return true
}
