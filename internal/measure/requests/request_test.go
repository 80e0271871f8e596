package requests_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"egretproxy/internal/admission/targetpool"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/request/refusal"
	"egretproxy/internal/request/retrybudget"
	"egretproxy/internal/target/gate"
)

// request is one request of a caller.
type request struct {
	// entry is the index of the entry that receives the request.
	entry int
	org   id.Organisation
	// smallOrg is false for the organisation that sends the largest share.
	smallOrg bool
	// middleThird means that the request was sent in the middle third of the
	// run.
	middleThird bool
	prompt      string
	prefix      uint64
}

// newRequest returns request i, with a random organisation and prompt prefix.
func (sim *simulation) newRequest(i int, middleThird bool) request {
	req := request{entry: i % len(sim.pools), middleThird: middleThird}
	req.org = id.Organisation(fmt.Sprintf("org-%d", 1+sim.rand.IntN(9)))
	req.smallOrg = true
	if sim.rand.Float64() < sim.scenario.LargeOrgFraction {
		req.org, req.smallOrg = "org-0", false
	}
	prefix := sim.rand.IntN(prefixCount)
	req.prefix = uint64(prefix + 1)
	req.prompt = strings.Repeat(fmt.Sprintf("handbook %04d, ropes and crevasses. ", prefix), 40) + fmt.Sprint(i)
	return req
}

// send handles one request as an entry and the agents would, with retries.
func (sim *simulation) send(ctx context.Context, req request) {
	start := time.Now()
	budget := sim.budgets[req.entry]
	budget.RecordRequest()
	poolRequest := targetpool.Request{Organisation: req.org, Weight: 1, Cost: float64(sim.scenario.ResponseTokens), Model: modelName, Prefix: req.prefix}
	if sim.scenario.Naive {
		poolRequest.Organisation = "all"
	}
	reason := refusal.TargetFailed
	attempts, notRun := 0, false
	for attempts < maxAttempts {
		if attempts > 0 && !sim.waitForRetryBudget(budget, notRun, start) {
			reason = refusal.RetryBudget
			break
		}
		grant, ref := sim.pools[req.entry].Acquire(ctx, poolRequest)
		if ref != nil {
			reason = ref.Reason
			break
		}
		attempts++
		poolRequest.Retry = true
		ref = sim.attempt(ctx, req, grant, start)
		if ref == nil {
			sim.countOutcome(req, attempts, "")
			return
		}
		reason = ref.Reason
		notRun = ref.Outcome == refusal.NotRun
	}
	sim.countOutcome(req, attempts, reason)
}

// waitForRetryBudget takes a retry from the budget. If the request certainly did
// not run, it waits for the budget until five seconds after the start of the
// request. It returns false if the budget allows no retry.
func (sim *simulation) waitForRetryBudget(budget *retrybudget.Budget, notRun bool, start time.Time) bool {
	for !budget.TakeRetry() {
		if !notRun || time.Since(start) > 5*time.Second {
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return true
}

// countOutcome adds a request to the result. The reason is empty if it was
// answered.
func (sim *simulation) countOutcome(req request, attempts int, reason refusal.Reason) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.result.Requests++
	sim.result.Tries += attempts
	if req.smallOrg {
		sim.smallCounts[0]++
	}
	if reason != "" {
		sim.result.Refused[reason]++
		return
	}
	sim.result.Answered++
	if req.smallOrg {
		sim.smallCounts[1]++
	}
}

// attempt sends the request to a target once.
func (sim *simulation) attempt(ctx context.Context, req request, grant *targetpool.Grant, start time.Time) *refusal.Refusal {
	t := sim.targets[grant.Target.ID]
	time.Sleep(time.Millisecond)
	ticket, ref := t.gate.Admit(gate.Request{Model: modelName})
	if ref != nil {
		grant.ReportLoad(t.gate.InFlight(), t.gateLimit(sim))
		grant.Refused(ref.Reason)
		return ref
	}
	defer ticket.Release()
	sent := time.Now()
	stream := t.engine.Submit(ctx, req.prompt, 0, sim.scenario.ResponseTokens, 0)
	if stream == nil {
		grant.Refused(refusal.TargetUnreachable)
		return refusal.UnknownOutcome(refusal.TargetFailed, "engine has no weights")
	}
	lastToken := time.Time{}
	for {
		select {
		case _, ok := <-stream.Tokens():
			if !ok {
				t.ramp.RecordCompletion()
				grant.Answered()
				return nil
			}
		case <-stream.Aborted():
			grant.Failed()
			sim.reinstallAfterCrash(ctx, t)
			return refusal.UnknownOutcome(refusal.AnswerBroken, "engine crashed during the response")
		}
		now := time.Now()
		if lastToken.IsZero() {
			t.ramp.RecordFirstToken(now.Sub(sent))
			grant.ReportLoad(t.gate.InFlight(), t.gateLimit(sim))
			sim.recordFirstToken(req, now.Sub(start))
		} else {
			sim.recordGap(now.Sub(lastToken))
			t.ramp.RecordGap(now.Sub(lastToken))
		}
		lastToken = now
	}
}

// gateLimit returns the number of requests that the target accepts at a time.
func (t *target) gateLimit(sim *simulation) int {
	if sim.scenario.Naive {
		return slots
	}
	return t.ramp.Limit()
}

// reinstallAfterCrash reinstalls the weights of an engine that crashed from
// overload, once for each crash.
func (sim *simulation) reinstallAfterCrash(ctx context.Context, t *target) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	crashes := t.engine.Counts().FellOver
	if crashes > t.crashes {
		t.crashes = crashes
		t.ramp.Reset()
		sim.reinstall(ctx, t)
	}
}

// recordFirstToken records the time from the start of a request to its first token.
func (sim *simulation) recordFirstToken(req request, d time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	histogram := sim.firstToken
	if req.middleThird {
		histogram = sim.middleFirstToken
	}
	if req.middleThird && req.smallOrg {
		_ = sim.smallFirstToken.RecordValue(max(1, d.Microseconds()))
	}
	_ = histogram.RecordValue(max(1, d.Microseconds()))
}

// recordGap records the time between two tokens of a response.
func (sim *simulation) recordGap(d time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	_ = sim.gaps.RecordValue(max(1, d.Microseconds()))
}

// collectResult adds the engines' counts and the latencies to the result.
func (sim *simulation) collectResult() Result {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	out := sim.result
	hits, misses := 0, 0
	targetIDs := make([]id.Target, 0, len(sim.targets))
	for targetID := range sim.targets {
		targetIDs = append(targetIDs, targetID)
	}
	slices.Sort(targetIDs)
	for _, targetID := range targetIDs {
		counts := sim.targets[targetID].engine.Counts()
		out.Overloads += counts.Overloads
		out.Unsigned += counts.Unsigned
		out.FellOver += counts.FellOver
		hits += counts.CacheHits
		misses += counts.CacheMiss
	}
	out.HitShare = float64(hits) / float64(max(1, hits+misses))
	out.FirstToken, out.Middle, out.Gap = quantiles(sim.firstToken), quantiles(sim.middleFirstToken), quantiles(sim.gaps)
	out.Small = quantiles(sim.smallFirstToken)
	if sim.smallCounts[0] > 0 {
		out.SmallShare = float64(sim.smallCounts[1]) / float64(sim.smallCounts[0])
	}
	return out
}

// quantiles returns the 50th, 95th and 99th percentile in milliseconds of a
// histogram in microseconds.
func quantiles(h *hdrhistogram.Histogram) [3]float64 {
	var out [3]float64
	for i, percentile := range []float64{50, 95, 99} {
		out[i] = float64(h.ValueAtQuantile(percentile)) / 1000
	}
	return out
}
