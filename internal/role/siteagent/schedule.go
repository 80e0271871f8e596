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
	// stagingTime is the time allowed for staging. An instance with a link of
	// 9.4 Mbit/s receives a version in 2.1 s.
	stagingTime = 2300 * time.Millisecond
	// lateLoadSpread is the time over which loads are spread if the weights
	// were staged too late.
	lateLoadSpread = 1500 * time.Millisecond
	// drainTimeout is how long running requests may continue before a load. An
	// engine that waits for its longest stream is half idle; one that aborts
	// all streams makes other engines repeat the prefill. Values between 0.3
	// and 0.7 s are equivalent.
	drainTimeout = 400 * time.Millisecond
	// loadDuration is the time reserved for a load and for entries to learn of
	// it.
	loadDuration = 500 * time.Millisecond
)

// loadStart returns when the engine at a position among count engines loads.
// The loads are spread over the time between the end of staging and the moment
// the version is due, so that few engines are unavailable at once. All times are
// relative to the publication of the version; age is the current time.
func loadStart(position, count int, age, due time.Duration) time.Duration {
	earliest := max(stagingTime, age)
	span := max(due-drainTimeout-loadDuration-earliest, lateLoadSpread)
	start := earliest + span*time.Duration(position)/time.Duration(count)
	// Once the version is due, the engine gets no requests that a load could
	// interrupt.
	return max(min(start, due), age)
}

// due returns the time from which requests may no longer start on the engine's
// current version, and the age of the bundle. Both are relative to the
// publication of the bundle.
func (a *Agent) due(v *siteclient.View, b relay.Bundle, current int64) (due, age time.Duration) {
	now := boottime.Now()
	a.mu.Lock()
	since := now - time.Since(a.firstSeen[b])
	a.mu.Unlock()
	for _, w := range v.Weights {
		if w.Model == b.Model && w.Version == b.Version {
			since = min(since, w.Since)
		}
	}
	due = a.Settings.WeightsDue
	for _, w := range v.Weights {
		if w.Model == b.Model && w.Version > current {
			due = min(due, w.Since+a.Settings.WeightsDue-since)
		}
	}
	return due, now - since
}

// awaitLoadStart waits until this engine is scheduled to load.
func (a *Agent) awaitLoadStart(ctx context.Context, b relay.Bundle, current int64) {
	v := a.Views.View()
	i, n := rank(v.Targets, a.Settings.Service, a.Settings.Address)
	due, age := a.due(v, b, current)
	clock.Sleep(ctx, loadStart(i, n, age, due)-age)
}

// drain waits for running requests to finish after entries were told to send no
// new ones. It returns how the engine treats the remaining requests.
func (a *Agent) drain(ctx context.Context) SwitchMode {
	v := a.Views.View()
	if v.Plan == nil || !v.Plan.Interruptible(a.Settings.Service) {
		return FinishRequests
	}
	began := time.Now()
	for time.Since(began) < drainTimeout-abortNotice && ctx.Err() == nil {
		if r, fresh := a.latestReport(); fresh && r.Active+r.Queued == 0 {
			break
		}
		clock.Sleep(ctx, reportInterval)
	}
	return AbortRequests
}
