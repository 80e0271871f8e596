package siteagent

import (
	"time"

	"k8s.io/klog/v2"

	"egretproxy/internal/admission/targetspeed"
	"egretproxy/internal/site/loadreport"
	"egretproxy/internal/site/plan"
)

// reportedSlowdown returns the slowdown to report to entries after a report of the
// engine, 0 if it is not slow or its speed is unknown. The caller holds mu.
func (a *Agent) reportedSlowdown(r Report) float32 {
	before := a.slowdown.Value()
	a.slowdown.Add(time.Now(), r.StartMs, min(r.Slowdown, targetspeed.MaxSlowdown))
	now := a.slowdown.Value()
	if isSlow(before) != isSlow(now) {
		klog.InfoS("Speed of engine changed", "Engine", a.Settings.Address, "Slowdown", now, "Before", before)
		a.Metrics.CountReason("EngineSpeedChanged", speedName(now))
	}
	if now <= 1 {
		return 0
	}
	return float32(now)
}

func isSlow(slowdown float64) bool { return !targetspeed.Speed{Slowdown: slowdown}.Even() }

func speedName(slowdown float64) string {
	if isSlow(slowdown) {
		return "Slow"
	}
	return "Usual"
}

// eventGap returns the shortest pause between events that the routes to a service
// allow, or 0 if none bounds it.
func eventGap(p *plan.Plan, s *plan.Service) time.Duration {
	out := time.Duration(0)
	for i := range p.Routes {
		r := &p.Routes[i]
		if r.EventGap <= 0 || out > 0 && r.EventGap >= out {
			continue
		}
		for _, share := range r.Shares {
			if share.Service == s.Name {
				out = r.EventGap
			}
		}
	}
	return out
}

// boundBurst limits the places of a slow engine to the requests whose prompts it can
// read between two events. The next deal follows once these are read.
func (a *Agent) boundBurst(p *plan.Plan, s *plan.Service, l loadreport.Load, out loadreport.Places, interval time.Duration) (loadreport.Places, time.Duration) {
	gap := eventGap(p, s)
	speed := targetspeed.Speed{Engine: s.Engine, Slowdown: float64(l.Slowdown), InFlight: float64(l.Active)}
	burst := speed.Burst(gap)
	if burst == 0 {
		return out, interval
	}
	out.Free = min(out.Free, max(burst-l.Queued, 0))
	out.Valid = max(out.Valid, gap)
	return out, max(interval, gap)
}
