package siteagent

import (
	"context"
	"time"

	"egretproxy/internal/kernel/boottime"
	"egretproxy/internal/kernel/clock"
	"egretproxy/internal/site/siteclient"
	"egretproxy/internal/weights/relay"
)

const (
	// stagingTime leaves time to stage. An instance's link of 9.4 Mbit/s brings
	// a version in 2.1 s.
	stagingTime = 2300 * time.Millisecond
	// lateLoadSpread spreads the loads of weights that were staged too late.
	lateLoadSpread = 1500 * time.Millisecond
	// drainTimeout is how long running requests may go on before a load. An
	// engine that waits for its longest stream is half idle; one that cuts
	// all of them makes others read their prompts again. Days were played
	// with 0.3, 0.7, 1.2 and 2.2 s; below 0.7 s they don't differ.
	drainTimeout = 400 * time.Millisecond
	// loadDuration is kept for a load and for entries to learn of it.
	loadDuration = 500 * time.Millisecond
)

// loadStart returns when the engine at a position among count engines loads. Their
// loads spread over the time from the end of staging until the version is
// due, so that as few as possible are out at once. All times count from the
// naming of the version; age is now.
func loadStart(at, count int, age, due time.Duration) time.Duration {
	first := max(stagingTime, age)
	span := max(due-drainTimeout-loadDuration-first, lateLoadSpread)
	turn := first + span*time.Duration(at)/time.Duration(count)
	// Once the version is due the engine has no work to lose.
	return max(min(turn, due), age)
}

// due returns when requests may no longer begin on the engine's version, and
// the age of the bundle, both from the naming of the bundle.
func (t *Agent) due(v *siteclient.View, b relay.Bundle, held int64) (due, age time.Duration) {
	now := boottime.Now()
	t.mu.Lock()
	since := now - time.Since(t.firstSeen[b])
	t.mu.Unlock()
	for _, n := range v.Weights {
		if n.Model == b.Model && n.Version == b.Version {
			since = min(since, n.Since)
		}
	}
	due = t.Settings.WeightsDue
	for _, n := range v.Weights {
		if n.Model == b.Model && n.Version > held {
			due = min(due, n.Since+t.Settings.WeightsDue-since)
		}
	}
	return due, now - since
}

// awaitLoadStart waits for the engine's turn.
func (t *Agent) awaitLoadStart(ctx context.Context, b relay.Bundle, held int64) {
	v := t.Views.View()
	i, n := rank(v.Targets, t.Settings.Service, t.Settings.Address)
	due, age := t.due(v, b, held)
	clock.Sleep(ctx, loadStart(i, n, age, due)-age)
}

// drain lets requests end, after entries were told to send nothing new. It
// returns what may become of those that are left.
func (t *Agent) drain(ctx context.Context) SwitchMode {
	v := t.Views.View()
	if v.Plan == nil || !v.Plan.Interruptible(t.Settings.Service) {
		return FinishRequests
	}
	began := time.Now()
	for time.Since(began) < drainTimeout && ctx.Err() == nil {
		if r, fresh := t.latestReport(); fresh && r.Active+r.Queued == 0 {
			break
		}
		clock.Sleep(ctx, reportInterval)
	}
	return AbortRequests
}
