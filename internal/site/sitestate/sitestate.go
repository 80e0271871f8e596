// Package sitestate is the agreed state of a site: the plan in force, the
// failure domains that are withdrawn and the versions of weights that are
// named. Keepers feed it from the agreed log.
package sitestate

import (
	"maps"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/boottime"
	"egretproxy/internal/site/plan"
)

// Command is one change. Exactly one of its parts is set.
type Command struct {
	Plan     *PlanChange    `cbor:",omitempty"`
	Withdraw *DomainChange  `cbor:",omitempty"`
	Weights  *WeightsChange `cbor:",omitempty"`
}

// PlanChange sets a plan if its version is higher than the one in force.
type PlanChange struct {
	Version plan.Version
	// Document is the plan as the operator sent it, packed.
	Document []byte
}

// DomainChange withdraws a failure domain or takes it back.
type DomainChange struct {
	Domain id.Domain
	Out    bool
}

// WeightsChange names a version of a model's weights. Lower ones than the
// newest change nothing.
type WeightsChange struct {
	Model   id.Model
	Version int64
	// NamedMs is when it was named by the time of day, in Unix milliseconds.
	// Only keepers that restart use it.
	NamedMs int64
}

// State is the agreed state at one position of the log.
type State struct {
	// Index is the position of the last change that had an effect.
	Index uint64
	// Version and Document are those of the plan in force; 0 and nil before
	// the first.
	Version  plan.Version
	Document []byte
	// PlanIndex is the position at which the plan was set.
	PlanIndex uint64
	Withdrawn map[id.Domain]bool
	Weights   map[id.Model]int64
	// NamedMs is when those versions were named, as in WeightsChange.
	NamedMs map[id.Model]int64
}

// Machine is safe for concurrent use. The zero value is the empty state.
type Machine struct {
	mu    sync.Mutex
	state State
	// changed is closed and replaced at each effect.
	changed chan struct{}
	// weightsVersions is when this keeper learnt of the newest versions of weights,
	// in ascending order. It is not part of the agreed state.
	weightsVersions []weightsVersion
}

type weightsVersion struct {
	WeightsChange
	// publishedAt is by the clock of boottime.
	publishedAt time.Duration
}

// WeightsVersion is a version of weights and for how long it has been known.
type WeightsVersion struct {
	WeightsChange
	Age time.Duration
}

// maxClockSkew is by how much times of day may differ or jump, in the users'
// deployments.
const maxClockSkew = 3 * time.Second

// maxWeightsVersions bounds the versions whose age is known. Older ones are due long
// since.
const maxWeightsVersions = 8

// WeightsVersions returns the newest versions of weights, oldest first.
func (c *Machine) WeightsVersions() []WeightsVersion {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := boottime.Now()
	var out []WeightsVersion
	for _, n := range c.weightsVersions {
		out = append(out, WeightsVersion{n.WeightsChange, now - n.publishedAt})
	}
	return out
}

// recordWeights notes a version of weights. It runs under mu.
func (c *Machine) recordWeights(w WeightsChange) {
	age := time.Duration(0)
	if w.NamedMs > 0 {
		// The keeper may learn of it long after, when it reads its log again.
		age = max(time.Since(time.UnixMilli(w.NamedMs))-maxClockSkew, 0)
	}
	c.weightsVersions = append(c.weightsVersions, weightsVersion{w, boottime.Now() - age})
	if len(c.weightsVersions) > maxWeightsVersions {
		c.weightsVersions = c.weightsVersions[1:]
	}
}

// Encode returns the command for the log.
func Encode(c Command) ([]byte, error) { return cbor.Marshal(c) }

// State returns a copy whose document is shared and must not be changed.
func (c *Machine) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.state
	out.Withdrawn = maps.Clone(out.Withdrawn)
	out.Weights = maps.Clone(out.Weights)
	out.NamedMs = maps.Clone(out.NamedMs)
	return out
}

// Changed returns a channel that is closed at the next effect.
func (c *Machine) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}

// Apply implements replica.StateMachine.
func (c *Machine) Apply(index uint64, command []byte) []byte {
	var in Command
	if err := cbor.Unmarshal(command, &in); err != nil {
		return []byte(err.Error())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.state.apply(index, in) {
		return nil
	}
	c.state.Index = index
	if in.Weights != nil {
		c.recordWeights(*in.Weights)
	}
	c.notify()
	return nil
}

// apply reports whether the command had an effect.
func (s *State) apply(index uint64, in Command) bool {
	switch {
	case in.Plan != nil:
		if in.Plan.Version <= s.Version && s.Document != nil {
			return false
		}
		s.Version, s.Document, s.PlanIndex = in.Plan.Version, in.Plan.Document, index
	case in.Withdraw != nil:
		if s.Withdrawn[in.Withdraw.Domain] == in.Withdraw.Out {
			return false
		}
		if s.Withdrawn == nil {
			s.Withdrawn = map[id.Domain]bool{}
		}
		s.Withdrawn[in.Withdraw.Domain] = in.Withdraw.Out
		if !in.Withdraw.Out {
			delete(s.Withdrawn, in.Withdraw.Domain)
		}
	case in.Weights != nil:
		if in.Weights.Version <= s.Weights[in.Weights.Model] {
			return false
		}
		if s.Weights == nil {
			s.Weights = map[id.Model]int64{}
		}
		if s.NamedMs == nil {
			s.NamedMs = map[id.Model]int64{}
		}
		s.Weights[in.Weights.Model] = in.Weights.Version
		s.NamedMs[in.Weights.Model] = in.Weights.NamedMs
	default:
		return false
	}
	return true
}

// Snapshot implements replica.StateMachine.
func (c *Machine) Snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return cbor.Marshal(c.state)
}

// Restore implements replica.StateMachine.
func (c *Machine) Restore(data []byte) error {
	var s State
	if err := cbor.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "decode state of the site")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = s
	c.weightsVersions = nil
	for m, v := range s.Weights {
		c.recordWeights(WeightsChange{Model: m, Version: v, NamedMs: s.NamedMs[m]})
	}
	c.notify()
	return nil
}

// notify runs under mu.
func (c *Machine) notify() {
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}
