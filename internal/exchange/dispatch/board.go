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
	// beginQuantile of the times to the first event is what a request must
	// have left when a target is chosen; beginStep follows within seconds.
	beginQuantile = 0.75
	beginStep     = 0.02
)

// Settings are the site's figures.
type Settings struct {
	// Regions maps failure domains to regions.
	Regions map[id.Domain]id.Region
	// Home is the own region.
	Home id.Region
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
	// Delay is the time of a datagram to the target's instance and back.
	Delay time.Duration
}

// Ask is one request's wish for a target.
type Ask struct {
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
	// SoonWeights is the version that is required soon. Targets on older
	// ones must begin on the request at once.
	SoonWeights int64
	// Moved requests were cut off at a target. They go to targets with the
	// newest weights first, which will not cut them off again.
	Moved bool
	// Exclude is the targets that it was sent to before.
	Exclude []id.Target
	// Prompt is the number of tokens to read first.
	Prompt int
}

// Board is safe for concurrent use.
type Board struct {
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
	// rate is the requests ended in a second by this entry, smoothed.
	rate  float64
	ended time.Time
	// soon is the version of weights that is required soon.
	soon int64
	// begin is the time from the choice of a target to its first event.
	begin quantile.Quantile
}

type target struct {
	discovery.Target
	withdrawn bool
	// own is the requests in progress from this entry, reading the prompt
	// tokens of those that have not begun to answer.
	own     int
	reading int
	// load is the newest report, ownThen the requests of this entry in it.
	load    Load
	loadAt  time.Time
	ownThen int
	// credit is the requests that this entry may still send before the next
	// report, 0 at least.
	credit int
	bucket bucket
	health health
}

// New returns an empty board.
func New(cfg Settings) *Board {
	return &Board{
		cfg: cfg, entries: 1,
		targets: map[id.Target]*target{}, services: map[id.Service]*service{},
	}
}

// Update takes in a new view. Targets that left get nothing more.
func (b *Board) Update(v *siteclient.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = max(v.Entries, 1)
	b.takeServices(v.Plan)
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
	b.pumpAll()
}

func (b *Board) takeServices(p *plan.Plan) {
	if p == nil {
		return
	}
	for k, spec := range p.Services {
		if b.services[k] == nil {
			b.services[k] = &service{begin: quantile.Quantile{At: beginQuantile, Step: beginStep}}
		}
		b.services[k].spec = spec
	}
}

// Report takes in what a target says of its load.
func (b *Board) Report(k id.Target, l Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.targets[k]
	if t == nil {
		return
	}
	t.load, t.loadAt, t.ownThen = l, time.Now(), t.own
	if s := b.services[t.Service]; s != nil {
		t.credit = b.share(b.limit(s, t)-b.busy(t), l.Delay)
		b.pump(s)
	}
}

// Engines returns the address of each target whose service runs a model.
func (b *Board) Engines() map[id.Target]string {
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

// Begin returns the time that most requests of the service take from the
// choice of a target to its first event, 0 if unknown.
func (b *Board) Begin(k id.Service) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.services[k]; s != nil {
		return s.begin.Value()
	}
	return 0
}

// Summary is the state of a service's targets, for the log.
type Summary struct {
	// Targets is all that are known; Out are draining, withdrawn or without
	// weights, Closed take nothing for now, Ejected failed lately.
	Targets, Out, Closed, Ejected int
	Waiting                       int
	// LeastBusy is the fewest requests at a target that is left.
	LeastBusy float64
}

// Summary describes the targets of a service.
func (b *Board) Summary(k id.Service) Summary {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[k]
	if s == nil {
		return Summary{}
	}
	out := Summary{Targets: len(s.targets), Waiting: len(s.waiters), LeastBusy: -1}
	for _, t := range s.targets {
		switch {
		case !b.mayServe(s, t, &Ask{}):
			out.Out++
		case t.reported() && t.load.Closed:
			out.Closed++
		case !t.health.admits(time.Now()):
			out.Ejected++
		case out.LeastBusy < 0 || b.busy(t) < out.LeastBusy:
			out.LeastBusy = b.busy(t)
		}
	}
	return out
}
