// Package dispatch decides which target a request goes to, how long it may
// wait for one, and when it is refused. It does no I/O.
package dispatch

import (
	"sync"
	"time"

	"github.com/go-faster/errors"

	"egretproxy/internal/admission/quantile"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/discovery"
	"egretproxy/internal/site/plan"
	"egretproxy/internal/site/siteclient"
)

// Errors of Acquire. The request was sent nowhere.
var (
	// ErrFull tells that no target can bear the request in time.
	ErrFull = errors.New("no target can bear the request in time")
	// ErrNoTarget tells that no target may serve the request at all.
	ErrNoTarget = errors.New("no target may serve the request")
)

const (
	// firstEventQuantile of the times to the first event is what a request must
	// have left when a target is chosen; firstEventStep follows within seconds.
	firstEventQuantile = 0.75
	firstEventStep     = 0.02
)

// Settings are the site's figures.
type Settings struct {
	// Regions maps failure domains to regions.
	Regions map[id.Domain]id.Region
	// HomeRegion is the own region.
	HomeRegion id.Region
	// ColdOverrun and ColdAllowance bound the requests in a second that
	// reach a cold target: rate x overrun + allowance.
	ColdOverrun, ColdAllowance float64
}

// Load is what a target's report says.
type Load struct {
	// Active and Queued are requests of all entries.
	Active, Queued int
	// Weights is the version held whole, 0 for none.
	Weights int64
	// Closed tells that it takes nothing new for now.
	Closed bool
	// NetworkDelay is the time of a datagram to the target's instance and back.
	NetworkDelay time.Duration
}

// Request is one request's wish for a target.
type Request struct {
	Service id.Service
	// Regions is where it may be served. Empty means everywhere.
	Regions []id.Region
	// Priority is the rank; 0 is served first.
	Priority int
	// MaxWait is how long it may wait for a target.
	MaxWait time.Duration
	// Late requests have missed their objective. They go after others of
	// their rank.
	Late bool
	// MinWeights is the oldest version of weights it may run on.
	MinWeights int64
	// NextMinWeights is the version that is required soon. Targets on older
	// ones must begin on the request at once.
	NextMinWeights int64
	// Interrupted requests were cut off at a target. They go to targets with the
	// newest weights first, which will not cut them off again.
	Interrupted bool
	// Exclude is the targets that it was sent to before.
	Exclude []id.Target
	// PromptTokens is the number of tokens to read first.
	PromptTokens int
}

// Dispatcher is safe for concurrent use.
type Dispatcher struct {
	cfg Settings

	mu       sync.Mutex
	entries  int
	targets  map[id.Target]*target
	services map[id.Service]*service
}

type service struct {
	spec *plan.Service
	// targets is the ones that announced the service and are in service.
	targets []*target
	waiters []*waiter
	// completionRate is the requests ended in a second by this entry, smoothed.
	completionRate float64
	lastCompletion time.Time
	// nextMinWeights is the version of weights that is required nextMinWeights.
	nextMinWeights int64
	// timeToFirstEvent is the time from the choice of a target to its first event.
	timeToFirstEvent quantile.Estimator
}

type target struct {
	discovery.Target
	withdrawn bool
	// ownInFlight is the requests in progress from this entry, reading the prompt
	// tokens of those that have not begun to answer.
	ownInFlight   int
	prefillTokens int
	// load is the newest report, ownAtReport the requests of this entry in it.
	load        Load
	loadTime    time.Time
	ownAtReport int
	// credit is the requests that this entry may still send before the next
	// report, 0 at least.
	credit int
	bucket bucket
	health health
}

// New returns an empty board.
func New(cfg Settings) *Dispatcher {
	return &Dispatcher{
		cfg: cfg, entries: 1,
		targets: map[id.Target]*target{}, services: map[id.Service]*service{},
	}
}

// Update takes in a new view. Targets that left get nothing more.
func (b *Dispatcher) Update(v *siteclient.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = max(v.Entries, 1)
	b.updateServices(v.Plan)
	for k := range b.targets {
		if _, ok := v.Targets[k]; !ok {
			delete(b.targets, k)
		}
	}
	for k, t := range v.Targets {
		o := b.targets[k]
		if o == nil || o.Born != t.Born {
			o = &target{}
			b.targets[k] = o
		}
		o.Target = t
		o.withdrawn = v.Withdrawn[t.Domain]
	}
	for _, s := range b.services {
		s.targets = s.targets[:0]
	}
	for _, t := range b.targets {
		if s := b.services[t.Service]; s != nil {
			s.targets = append(s.targets, t)
		}
	}
	b.grantAllWaiting()
}

func (b *Dispatcher) updateServices(p *plan.Plan) {
	if p == nil {
		return
	}
	for k, spec := range p.Services {
		if b.services[k] == nil {
			b.services[k] = &service{timeToFirstEvent: quantile.Estimator{Probability: firstEventQuantile, Step: firstEventStep}}
		}
		b.services[k].spec = spec
	}
}

// ReportLoad takes in what a target says of its load.
func (b *Dispatcher) ReportLoad(k id.Target, l Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[k]
	if t == nil {
		return
	}
	t.load, t.loadTime, t.ownAtReport = l, time.Now(), t.ownInFlight
	if s := b.services[t.Service]; s != nil {
		t.credit = b.ownShare(b.limit(s, t)-b.inFlight(t), l.NetworkDelay)
		b.grantWaiting(s)
	}
}

// EngineAddresses returns the address of each target whose service runs a model.
func (b *Dispatcher) EngineAddresses() map[id.Target]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[id.Target]string{}
	for k, t := range b.targets {
		if s := b.services[t.Service]; s != nil && s.spec.Engine != nil {
			out[k] = t.Address
		}
	}
	return out
}

// TimeToFirstEvent returns the time that most requests of the service take from the
// choice of a target to its first event, 0 if unknown.
func (b *Dispatcher) TimeToFirstEvent(k id.Service) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.services[k]; s != nil {
		return s.timeToFirstEvent.Value()
	}
	return 0
}

// Summary is the state of a service's targets, for the log.
type Summary struct {
	// Targets is all that are known; Out are draining, withdrawn or without
	// weights, Closed take nothing for now, Ejected failed lately.
	Targets, Ineligible, Closed, Ejected int
	Waiting                              int
	// MinInFlight is the fewest requests at a target that is left.
	MinInFlight float64
}

// Summary describes the targets of a service.
func (b *Dispatcher) Summary(k id.Service) Summary {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[k]
	if s == nil {
		return Summary{}
	}
	out := Summary{Targets: len(s.targets), Waiting: len(s.waiters), MinInFlight: -1}
	for _, t := range s.targets {
		switch {
		case !b.mayServe(s, t, &Request{}):
			out.Ineligible++
		case t.hasFreshReport() && t.load.Closed:
			out.Closed++
		case !t.health.admits(time.Now()):
			out.Ejected++
		case out.MinInFlight < 0 || b.inFlight(t) < out.MinInFlight:
			out.MinInFlight = b.inFlight(t)
		}
	}
	return out
}
