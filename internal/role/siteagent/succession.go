package siteagent

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"egretproxy/internal/kernel/clock"
	"egretproxy/internal/weights/relay"
	"egretproxy/internal/weights/succession"
)

// succession describes the replacement of the engine's current version by older, which
// newer replaces in turn. An engine without weights serves nothing until it has older.
func (a *Agent) succession(older, newer relay.Bundle, current int64) succession.Succession {
	v, now := a.Views.View(), time.Now()
	s := succession.Succession{
		Older: a.Relay.Copy(older), Newer: a.Relay.Copy(newer), OlderDue: now,
		FetchTime: stagingTime, LoadTime: drainTimeout + loadDuration, LeadTime: fallbackLeadTime,
	}
	if current > 0 {
		due, age := a.due(v, older, current)
		s.OlderDue = now.Add(due - age)
	}
	due, age := a.due(v, newer, older.Version)
	s.NewerDue = now.Add(due - age)
	return s
}

// finishes reports whether the deployment of b goes on although newer has been named,
// since little of b is missing.
func (a *Agent) finishes(b, newer relay.Bundle, current int64) bool {
	return a.succession(b, newer, current).FinishesOlder(time.Now())
}

func (a *Agent) recordFallBack(newer, older relay.Bundle) {
	a.Metrics.Count("SupersededUsed")
	held, missing := a.Relay.Copy(older), a.Relay.Copy(newer)
	klog.InfoS("Loading the older version first", "Model", older.Model, "Version", older.Version, "Held", held.Held,
		"Newer", newer.Version, "NewerHeld", missing.Held, "Pieces", held.Pieces, "NewerWaitedMs", missing.Waited.Milliseconds())
}

// fetchNewer downloads the version that replaces b into memory, while the engine waits
// for its turn to load b.
func (a *Agent) fetchNewer(ctx context.Context, b relay.Bundle) {
	for ctx.Err() == nil {
		newer := a.candidates(b.Version)
		if len(newer) > 0 && !a.Relay.Complete(newer[0]) {
			_ = a.Relay.FetchBundle(ctx, newer[0])
		}
		clock.Sleep(ctx, reconcileInterval)
	}
}
