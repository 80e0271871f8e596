package siteentry

import (
	"context"
	"slices"

	"github.com/go-faster/errors"

	"egretproxy/internal/exchange/dispatch"
)

// maxDialFailures bounds the targets that take no connection.
const maxDialFailures = 4

// decision tells what to do after one attempt.
type decision uint8

const (
	// done means that the caller has its final answer.
	done decision = iota
	// tryNext means that another target may be tried.
	tryNext
)

// run sends the request to targets until one answers.
func (j *job) run(ctx context.Context) {
	j.entry.RetryBudget.RecordRequest(j.service.Name)
	dials := 0
	for {
		ask := j.dispatchRequest()
		grant, err := j.acquire(ctx, ask)
		if err == dispatch.ErrNoTarget && j.sent == 0 && j.awaitTargets(ctx) {
			continue
		}
		if err != nil {
			j.abandon(ctx, err)
			return
		}
		j.waited += grant.Waited
		if !j.mayDispatch() {
			grant.End(dispatch.Cancelled)
			j.abandon(ctx, errStale)
			return
		}
		if j.minWeights() > ask.MinWeights {
			// A newer version became due during the wait.
			grant.End(dispatch.Cancelled)
			continue
		}
		j.target = grant.Target
		v, outcome, sent := j.try(ctx, grant)
		if v == done {
			j.releaseNext()
			return
		}
		j.tried = append(j.tried, grant.Target)
		if sent {
			j.sent++
		} else if dials++; dials >= maxDialFailures {
			j.abandon(ctx, errors.New("targets take no connection"))
			return
		}
		if !j.mayRetry(ctx, sent) {
			j.releaseNext()
			j.abandon(ctx, errors.New(j.lastError))
			return
		}
		j.entry.Metrics.CountReason("Retry", outcomeNames[outcome])
		j.entry.Trail.Record(notableKind, "Request goes to another target", "Request", j.id, "After", grant.Target, "Reason", j.lastError, "Sent", j.sent)
	}
}

// try makes one attempt and gives the target's place back, also when the
// caller leaves, which ends the handler by a panic.
func (j *job) try(ctx context.Context, grant *dispatch.Grant) (v decision, outcome dispatch.Outcome, sent bool) {
	outcome = dispatch.Cancelled
	returned := false
	defer func() {
		if grant.End(outcome) {
			j.entry.Metrics.CountReason("TargetEjected", outcomeNames[outcome])
			j.entry.Trail.Record(failureKind, "Target is left out for a while", "Target", grant.Target, "Reason", outcomeNames[outcome])
			j.entry.Pool.CloseIdle(grant.Address)
		}
		if !returned {
			j.releaseNext()
		}
	}()
	v, outcome, sent = j.attempt(ctx, grant)
	returned = true
	return v, outcome, sent
}

var (
	errStale    = errors.New("configuration is not confirmed")
	errOutdated = errors.New("target's weights are no longer permitted")
)

// mayDispatch looks again at what may have changed during a wait or a
// freeze: a key must not be used after its revocation.
func (j *job) mayDispatch() bool {
	return j.tenant == nil || j.confirmed()
}

// mayRetry reports whether a further target may be tried.
func (j *job) mayRetry(ctx context.Context, sent bool) bool {
	if ctx.Err() != nil {
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
	if !j.entry.RetryBudget.Take(j.service.Name, j.view.Entries) {
		j.entry.Metrics.CountReason("RetryRefused", "Budget")
		j.lastError += ", and the retry budget is spent"
		return false
	}
	return true
}

// releaseNext gives a secured target back.
func (j *job) releaseNext() {
	if g := j.nextTarget.Swap(nil); g != nil {
		g.End(dispatch.Cancelled)
	}
}

// acquire returns the target that was secured for the next attempt, or waits
// for one.
func (j *job) acquire(ctx context.Context, ask *dispatch.Request) (*dispatch.Grant, error) {
	if g := j.nextTarget.Swap(nil); g != nil {
		return g, nil
	}
	return j.entry.Dispatcher.Acquire(ctx, ask)
}

// takeoverRequest returns the wish for a target that goes on where a silent one
// stopped. It must be able to begin at once.
func (j *job) takeoverRequest(silent *dispatch.Grant) *dispatch.Request {
	ask := j.dispatchRequest()
	ask.MaxWait, ask.Interrupted, ask.MinWeights = 0, true, max(ask.MinWeights, silent.Weights)
	ask.Exclude = append(slices.Clone(j.tried), silent.Target)
	return ask
}

// reserveNext takes a retry out of the budget and a place at another target, so
// that an attempt is given up only for one that can begin at once. A retry
// that was taken stays reserved.
func (j *job) reserveNext(ctx context.Context, ask *dispatch.Request) bool {
	if !j.retryReserved.Load() {
		if !j.entry.RetryBudget.Take(j.service.Name, j.view.Entries) {
			return false
		}
		j.retryReserved.Store(true)
	}
	next, err := j.entry.Dispatcher.Acquire(ctx, ask)
	if err != nil {
		return false
	}
	j.nextTarget.Store(next)
	return true
}
