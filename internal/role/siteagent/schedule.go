package siteagent

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"egretproxy/internal/kernel/boottime"
	"egretproxy/internal/kernel/clock"
	"egretproxy/internal/site/siteclient"
	"egretproxy/internal/weights/relay"
	"egretproxy/internal/weights/rollout"
)

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

// rollout returns what decides when this engine loads. It waits for streams if a plan
// bounds their pauses, which an abort lengthens.
func (a *Agent) rollout(v *siteclient.View) rollout.Rollout {
	if v.Plan == nil {
		return rollout.Rollout{}
	}
	return rollout.Rollout{Drain: v.Plan.LongestStream(a.Settings.Service)}
}

// announceMoment announces when this engine is expected to load the version once it is
// staged, if it waits for its requests then.
func (a *Agent) announceMoment(b relay.Bundle, current int64) {
	v := a.Views.View()
	r, t := a.rollout(v), a.rolloutTarget(v, b, current)
	if r.Drain == 0 {
		return
	}
	moment, until := r.Announced(t)
	now := time.Now()
	a.setLoadsAt(now.Add(moment-t.Age), now.Add(until-t.Age))
}

// rolloutTarget describes this engine.
func (a *Agent) rolloutTarget(v *siteclient.View, b relay.Bundle, current int64) rollout.Target {
	i, n := rank(v.Targets, a.Settings.Service, a.Settings.Address)
	due, age := a.due(v, b, current)
	return rollout.Target{Position: i, Count: n, Busy: a.busyAt(b), Age: age, Due: due}
}

// busyNow returns the share of the engine's slots that is taken.
func (a *Agent) busyNow(v *siteclient.View) float64 {
	s := a.spec(v)
	if s == nil || s.Engine == nil {
		return 0
	}
	slots := a.slots(v, s)
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running / float64(max(slots, 1))
}

// busyAt returns the share of the engine's slots that was taken when the version became
// known to this process.
func (a *Agent) busyAt(b relay.Bundle) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.busy[b]
}

// awaitLoadStart waits until this engine is scheduled to load. It returns the time until
// the version is due.
func (a *Agent) awaitLoadStart(ctx context.Context, b relay.Bundle, current int64) time.Duration {
	v := a.Views.View()
	r, t := a.rollout(v), a.rolloutTarget(v, b, current)
	wait := r.Moment(t) - t.Age
	if r.Drain > 0 {
		a.setLoadsAt(time.Now().Add(wait), time.Time{})
	}
	clock.Sleep(ctx, wait)
	return t.Due - t.Age
}

// drain waits for running requests to finish after entries were told to send no
// new ones. left is the time that was left until the version is due when it
// was staged. It returns how the engine treats the remaining requests.
func (a *Agent) drain(ctx context.Context, b relay.Bundle, left time.Duration) SwitchMode {
	v := a.Views.View()
	if v.Plan == nil || !v.Plan.Interruptible(a.Settings.Service) {
		return FinishRequests
	}
	r, _ := a.latestReport()
	had := r.Active + r.Queued
	l := rollout.Load{Busy: a.busyAt(b), Now: a.busyNow(v), Left: left}
	patience := a.rollout(v).Patience(l)
	began := time.Now()
	for time.Since(began) < patience-abortNotice && ctx.Err() == nil {
		if r, fresh := a.latestReport(); fresh && r.Active+r.Queued == 0 {
			a.Metrics.Count("LoadFinished")
			klog.InfoS("Requests have ended before a load", "Model", b.Model, "Version", b.Version, "Had", had, "Took", time.Since(began).String())
			return FinishRequests
		}
		clock.Sleep(ctx, reportInterval)
	}
	r, _ = a.latestReport()
	a.Metrics.Count("LoadAborted")
	klog.InfoS("Requests are aborted for a load", "Model", b.Model, "Version", b.Version, "Busy", l.Busy, "Now", l.Now, "Had", had, "Left", r.Active+r.Queued,
		"Patience", patience.String())
	return AbortRequests
}
