package siteagent

import (
	"time"

	"egretproxy/internal/exchange/dispatch"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/boottime"
	"egretproxy/internal/site/loadreport"
	"egretproxy/internal/site/plan"
	"egretproxy/internal/site/siteclient"
)

const (
	// placesMargin covers the time of a query and of a report. Without a valid
	// place entries let requests wait although the engine has free slots.
	placesMargin = 40 * time.Millisecond
	// maxSharers is the greatest number of entries that share an engine. Each gets
	// a report at each change of the load.
	maxSharers = 12
	// minSharers is the least number. Entries need several engines each, and
	// engines several entries in case one stops. More would exceed what a cold
	// engine bears in the worst case.
	minSharers = 3
)

// spec returns the engine's service in a view, or nil if it is not known.
func (a *Agent) spec(v *siteclient.View) *plan.Service {
	if v.Plan == nil {
		return nil
	}
	return v.Plan.Services[a.Settings.Service]
}

// places returns the requests that the engine can start now, and the time between
// two deals. Few places are dealt anew after each query, since a place of an entry
// that has no request for it is lost until then; many, less often.
func (a *Agent) places(l loadreport.Load) (out loadreport.Places, interval time.Duration) {
	v := a.Views.View()
	s := a.spec(v)
	if s == nil || s.Engine == nil || l.Closed {
		return out, 0
	}
	limit := dispatch.EngineLimit(a.slots(v, s))
	if a.replacedSoon(v, s.Engine.Model, l.Weights) {
		limit = int(dispatch.ImmediateStartLimit(a.slots(v, s)))
	}
	out.Free = max(limit-l.Active-l.Queued, 0)
	out.Valid = reportInterval + placesMargin
	if out.Free > limit/2 {
		out.Valid += reportInterval
		interval = 2*reportInterval - placesMargin
	}
	return a.boundBurst(v.Plan, s, l, out, interval)
}

// replacedSoon reports whether requests may start on the weights that the engine holds
// for a short time only. Places that all entries use at once would make some start
// too late.
func (a *Agent) replacedSoon(v *siteclient.View, m id.Model, held int64) bool {
	for _, w := range v.Weights {
		if left := a.Settings.WeightsDue - (boottime.Now() - w.Since); w.Model == m && w.Version > held && left > 0 && left < dispatch.SoonRequired {
			return true
		}
	}
	return false
}

// slots returns the number of requests that the engine processes at once, by the
// plan or else by its own announcement.
func (a *Agent) slots(v *siteclient.View, s *plan.Service) int {
	if s.Engine.Slots > 0 {
		return s.Engine.Slots
	}
	for _, t := range v.Targets {
		if t.Address == a.Settings.Address {
			return t.Slots
		}
	}
	return 0
}

// sharers returns the number of entries that may share the engine. Each may send
// it some requests per second even while it is cold.
func (a *Agent) sharers() int {
	s := a.spec(a.Views.View())
	if s == nil || s.ColdPerSecond <= 0 {
		return maxSharers
	}
	n := dispatch.ColdSharers(s.ColdPerSecond, a.Settings.ColdOverrun, a.Settings.ColdAllowance)
	return min(max(n, minSharers), maxSharers)
}
