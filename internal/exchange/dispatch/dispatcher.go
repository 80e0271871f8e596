// Package dispatch decides which target serves a request, how long the
// request may wait for one, and when it is refused. It does no I/O.
package dispatch

import (
	"sync"
	"time"

	"github.com/go-faster/errors"

	"egretproxy/internal/admission/quantile"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/allotment"
	"egretproxy/internal/site/discovery"
	"egretproxy/internal/site/plan"
	"egretproxy/internal/site/siteclient"
)

// Errors returned by Acquire. The request has not been sent.
var (
	// ErrFull means that no target has capacity for the request in time.
	ErrFull = errors.New("no target can bear the request in time")
	// ErrNoTarget means that no target is allowed to serve the request.
	ErrNoTarget = errors.New("no target may serve the request")
)

const (
	// firstEventQuantile is the quantile of the time to the first event that
	// a request must have left when a target is selected. With firstEventStep
	// the estimate adapts within seconds.
	firstEventQuantile = 0.75
	firstEventStep     = 0.02
)

// Settings configures a Dispatcher.
type Settings struct {
	// Name identifies this entry.
	Name string
	// Regions maps failure domains to regions.
	Regions map[id.Domain]id.Region
	// HomeRegion is this entry's region.
	HomeRegion id.Region
	// ColdOverrun and ColdAllowance limit the requests per second to a cold
	// target to rate x overrun + allowance.
	ColdOverrun, ColdAllowance float64
}

// Load is the load that a target reports.
type Load struct {
	// Active and Queued count the requests of all entries.
	Active, Queued int
	// Weights is the version held completely, or 0 for none.
	Weights int64
	// Closed means that the target accepts no new requests for now.
	Closed bool
	// NetworkDelay is the delay between this entry and the target's instance:
	// the round-trip time of a datagram, or the queueing time on the
	// instance's link if that is longer.
	NetworkDelay time.Duration
	// Share is this entry's part of the target's capacity, which it may use
	// until ShareUntil. Without sharers the target has allotted none yet.
	Share      allotment.Share
	ShareUntil time.Time
	// Places is the number of requests that this entry may start within
	// PlacesValid, if the target has allotted parts.
	Places      int
	PlacesValid time.Duration
	// LoadsAt is when the target takes no more requests to load a version of weights,
	// zero if it has none to load.
	LoadsAt time.Time
}

// SoonRequired is how long before a version of weights becomes required the engines
// on older versions are loaded so lightly that requests start at once. A request at a
// full engine may start 0.8 s after it arrives.
const SoonRequired = 800 * time.Millisecond

// Request describes what one request needs of a target.
type Request struct {
	Service id.Service
	// Regions are the regions that may serve the request. Empty means all.
	Regions []id.Region
	// Priority is the queue priority; 0 is served first.
	Priority int
	// MaxWait is the maximum time in the queue.
	MaxWait time.Duration
	// Late requests have missed their objective. They are queued after others
	// of their priority.
	Late bool
	// MinWeights is the oldest version of weights that may serve the request.
	MinWeights int64
	// NextMinWeights is the version that becomes the minimum soon. Targets on
	// older versions must start the request immediately.
	NextMinWeights int64
	// NewerWeights is the oldest published version that is not the minimum yet, 0
	// for none. Targets on older versions must start the request by StartBy.
	NewerWeights int64
	StartBy      time.Time
	// Interrupted requests were aborted at a target. They prefer targets with
	// the newest weights, which will not abort them again.
	Interrupted bool
	// Exclude lists the targets that were tried before.
	Exclude []id.Target
	// PromptTokens is the number of prompt tokens to process first.
	PromptTokens int
	// Expected is the time within which the request ends most likely, 0 if unknown.
	// It goes to targets that load weights later, if there are any.
	Expected time.Duration
}

// Dispatcher selects targets for the requests of one entry. It is safe for
// concurrent use.
type Dispatcher struct {
	cfg Settings

	mu       sync.Mutex
	entries  int
	targets  map[id.Target]*target
	services map[id.Service]*service
	// notices holds what targets asked of this entry.
	notices map[id.Target]*notice
}

type service struct {
	spec *plan.Service
	// targets are the known targets that announced the service.
	targets []*target
	waiters []*waiter
	// waitingSince is when the first of the requests that wait now came.
	waitingSince time.Time
	// checkScheduled means that a check of the queue is due.
	checkScheduled bool
	// free is the memory of grantWaiting between calls.
	free []*target
	// completionRate is the smoothed number of requests per second that this
	// entry completes.
	completionRate float64
	lastCompletion time.Time
	// nextMinWeights is the version of weights that becomes the minimum soon.
	nextMinWeights int64
	// timeToFirstEvent estimates the time from the selection of a target to
	// its first event.
	timeToFirstEvent quantile.Estimator
	// starts is the longest recent time to the first event at any target.
	starts startDelay
	demand demand
	share  limitShare
}

type target struct {
	discovery.Target
	withdrawn bool
	region    id.Region
	// ownInFlight counts this entry's requests in progress. prefillTokens
	// sums the prompt tokens of those without a first event.
	ownInFlight   int
	prefillTokens int
	// starts is the longest recent time to the first event of this entry's
	// requests, unstarted are those without one.
	starts    startDelay
	unstarted []*Grant
	// load is the newest report. ownAtReport is the number of this entry's
	// requests in progress when it arrived.
	load        Load
	reportTime  time.Time
	ownAtReport int
	// share is the newest part of the capacity that the target allotted to this
	// entry, which it may use until shareUntil.
	share      allotment.Share
	shareUntil time.Time
	// unallottedPart is the part of the capacity for this entry while none is
	// allotted.
	unallottedPart float64
	// credit is the number of requests that this entry may send before the
	// next report or creditUntil. It is never negative.
	credit      int
	creditUntil time.Time
	bucket      bucket
	limit       rateLimit
	health      health
	// notice is nil if the target has asked for nothing.
	notice *notice
}

// New returns a Dispatcher without targets.
func New(cfg Settings) *Dispatcher {
	return &Dispatcher{
		cfg: cfg, entries: 1,
		targets: map[id.Target]*target{}, services: map[id.Service]*service{},
	}
}

// Update applies a new view of the site. Targets that are no longer in it get
// no more requests.
func (d *Dispatcher) Update(v *siteclient.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries = max(v.Entries, 1)
	d.updateServices(v.Plan)
	for k := range d.targets {
		if _, ok := v.Targets[k]; !ok {
			delete(d.targets, k)
		}
	}
	now := time.Now()
	for k, s := range d.services {
		if traffic, ok := v.TrafficShare[k]; ok {
			s.share.update(now, traffic)
			continue
		}
		s.share = limitShare{}
	}
	for k, t := range v.Targets {
		known := d.targets[k]
		if known == nil || known.Born != t.Born {
			known = &target{}
			d.targets[k] = known
		}
		known.Target = t
		known.withdrawn = v.Withdrawn[t.Domain]
		known.region = d.cfg.Regions[t.Domain]
	}
	d.updateNotices(now)
	for _, s := range d.services {
		s.targets = s.targets[:0]
	}
	for _, t := range d.targets {
		if s := d.services[t.Service]; s != nil {
			s.targets = append(s.targets, t)
			t.unallottedPart = d.partWithoutAllotment(s, t)
		}
	}
	d.grantAllWaiting()
}

func (d *Dispatcher) updateServices(p *plan.Plan) {
	if p == nil {
		return
	}
	for k, spec := range p.Services {
		if d.services[k] == nil {
			d.services[k] = &service{timeToFirstEvent: quantile.Estimator{Probability: firstEventQuantile, Step: firstEventStep}}
		}
		d.services[k].spec = spec
	}
}

// ReportLoad records the load that a target reports.
func (d *Dispatcher) ReportLoad(k id.Target, l Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.targets[k]
	if t == nil {
		return
	}
	now := time.Now()
	t.load, t.reportTime, t.ownAtReport = l, now, t.ownInFlight
	if l.Share.Sharers > 0 {
		t.share, t.shareUntil = l.Share, l.ShareUntil
	}
	if s := d.services[t.Service]; s != nil {
		d.renewCredit(s, t, now)
		d.grantWaiting(s, []*target{t})
	}
}

// Claim is what this entry asks of the agent beside a target.
type Claim struct {
	allotment.Claim
	Target  id.Target
	Address string
}

// Claims returns the claim for each target whose service runs a model.
func (d *Dispatcher) Claims() []Claim {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	var out []Claim
	for k, t := range d.targets {
		s := d.services[t.Service]
		if s == nil || s.spec.Engine == nil {
			continue
		}
		s.demand.decay(now)
		c := Claim{Target: k, Address: t.Address}
		c.Demand, c.Home = s.demand.perSecond, t.region == d.cfg.HomeRegion
		if t.allotted(now) {
			c.Held = t.share.Part
		}
		out = append(out, c)
	}
	return out
}

// TimeToFirstEvent returns the time within which most requests of the service
// get their first event after a target is selected, or 0 if unknown.
func (d *Dispatcher) TimeToFirstEvent(k id.Service) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.services[k]; s != nil {
		return s.timeToFirstEvent.Value()
	}
	return 0
}

// Summary describes the targets of a service for log messages.
type Summary struct {
	// Targets counts all known targets. Ineligible ones are draining,
	// withdrawn or without weights, Closed ones accept no requests for now,
	// and Ejected ones failed recently.
	Targets, Ineligible, Closed, Ejected int
	Waiting                              int
	// Unshared counts the targets of which this entry has no part, Paused those
	// that asked for a pause. Both also count elsewhere.
	Unshared, Paused int
	// MinInFlight is the lowest number of requests in progress at any
	// remaining target, or -1 if none remains.
	MinInFlight float64
}

// Summary returns the state of a service's targets.
func (d *Dispatcher) Summary(k id.Service) Summary {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[k]
	if s == nil {
		return Summary{}
	}
	now := time.Now()
	out := Summary{Targets: len(s.targets), Waiting: len(s.waiters), MinInFlight: -1}
	for _, t := range s.targets {
		if t.part(now) <= 0 {
			out.Unshared++
		}
		if t.pauses(now) {
			out.Paused++
		}
		switch {
		case !mayServe(s, t, &Request{}, now):
			out.Ineligible++
		case t.hasFreshReport(now) && t.load.Closed:
			out.Closed++
		case !t.health.admits(now):
			out.Ejected++
		case out.MinInFlight < 0 || d.inFlight(t, now) < out.MinInFlight:
			out.MinInFlight = d.inFlight(t, now)
		}
	}
	return out
}
