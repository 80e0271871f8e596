// Package sitestate implements the replicated state of a site: the plan in
// force, the withdrawn failure domains, the published versions of weights and the
// parts of prompts and requests that are shut out.
// Keepers apply the commands of the replicated log to it.
package sitestate

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/boottime"
	"egretproxy/internal/kernel/wakeup"
	"egretproxy/internal/site/plan"
	"egretproxy/internal/site/quarantine"
)

// Command is one change. Exactly one of its fields is set.
type Command struct {
	Plan     *PlanChange    `cbor:",omitempty"`
	Withdraw *DomainChange  `cbor:",omitempty"`
	Weights  *WeightsChange `cbor:",omitempty"`
	// Quarantine changes the parts of prompts and the requests that are shut out.
	Quarantine *QuarantineChange `cbor:",omitempty"`
}

// PlanChange sets a plan if its version is higher than the one in force.
type PlanChange struct {
	Version plan.Version
	// Document is the compressed plan in the operator's format.
	Document []byte
}

// DomainChange withdraws a failure domain or returns it to service.
type DomainChange struct {
	Domain id.Domain
	Out    bool
	// After is a position of the log that the operator's order can't precede. If an
	// order to the contrary was acknowledged since, this one may be older and has no
	// effect. It is nil in logs of versions that did not store it.
	After *uint64 `cbor:",omitempty"`
	// Tracked records the order in State.OrderIndex. It is false in logs of versions
	// that did not have it, so that these lead to the same state as before.
	Tracked bool `cbor:",omitempty"`
}

// ErrOutdated is the response to a DomainChange that may be older than the domain's
// last order.
var ErrOutdated = errors.New("failure domain had another order since this one may have been sent")

// WeightsChange publishes a version of a model's weights. A version that is not
// higher than the newest has no effect.
type WeightsChange struct {
	Model   id.Model
	Version int64
	// NamedMs is the wall clock time of the publication in Unix milliseconds.
	// Keepers need it only after a restart.
	NamedMs int64
}

// State is the replicated state at one position of the log.
type State struct {
	// Index is the position of the last change that had an effect.
	Index uint64
	// Version and Document are those of the plan in force, 0 and nil if there
	// is none.
	Version  plan.Version
	Document []byte
	// PlanIndex is the position at which the plan was set.
	PlanIndex uint64
	Withdrawn map[id.Domain]bool
	// DomainIndex is the position of the last change of each failure domain.
	DomainIndex map[id.Domain]uint64
	// OrderIndex is the position of the last tracked order for each failure domain that
	// was acknowledged, also if it found the domain as it wanted it. It may be higher
	// than Index.
	OrderIndex map[id.Domain]uint64
	Weights    map[id.Model]int64
	// NamedMs is when those versions were published, as in WeightsChange.
	NamedMs map[id.Model]int64
	// Quarantine holds the verdicts on parts of prompts and on requests, oldest first.
	Quarantine []quarantine.Verdict
	// ClearedIndex is the position at which the last verdict on a part of prompts or a
	// request ended, for the latest of them.
	ClearedIndex map[id.PromptPart]uint64
}

// Machine is the replicated state machine. It is safe for concurrent use. The
// zero value holds the empty state.
type Machine struct {
	mu    sync.Mutex
	state State
	// changed is sent at each effect, ordered at each order that is acknowledged.
	changed, ordered wakeup.Signal
	// weightsVersions holds the newest versions of weights in the order in
	// which this keeper learnt of them. It is not part of the replicated state.
	weightsVersions []weightsVersion
}

type weightsVersion struct {
	WeightsChange
	// publishedAt is by the boottime clock.
	publishedAt time.Duration
}

// WeightsVersion is a version of weights and the time for which it has been
// known.
type WeightsVersion struct {
	WeightsChange
	Age time.Duration
}

// maxClockSkew bounds how much wall clocks may differ or jump in the users'
// deployments.
const maxClockSkew = 3 * time.Second

// maxWeightsVersions bounds the versions whose age is known. Older ones are
// long past their deadline.
const maxWeightsVersions = 8

// WeightsVersions returns the newest versions of weights, oldest first.
func (m *Machine) WeightsVersions() []WeightsVersion {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := boottime.Now()
	var out []WeightsVersion
	for _, w := range m.weightsVersions {
		out = append(out, WeightsVersion{w.WeightsChange, now - w.publishedAt})
	}
	return out
}

// recordWeights records the publication of a version. The caller holds mu.
func (m *Machine) recordWeights(w WeightsChange) {
	age := time.Duration(0)
	if w.NamedMs > 0 {
		// A keeper that replays its log learns of a version long after its
		// publication.
		age = max(time.Since(time.UnixMilli(w.NamedMs))-maxClockSkew, 0)
	}
	m.weightsVersions = append(m.weightsVersions, weightsVersion{w, boottime.Now() - age})
	if len(m.weightsVersions) > maxWeightsVersions {
		m.weightsVersions = m.weightsVersions[1:]
	}
}

// Encode returns the command's encoding for the log.
func Encode(c Command) ([]byte, error) { return cbor.Marshal(c) }

// State returns a copy of the state. Its document is shared and must not be
// modified.
func (m *Machine) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.state
	out.Withdrawn = maps.Clone(out.Withdrawn)
	out.DomainIndex = maps.Clone(out.DomainIndex)
	out.OrderIndex = maps.Clone(out.OrderIndex)
	out.Weights = maps.Clone(out.Weights)
	out.NamedMs = maps.Clone(out.NamedMs)
	out.Quarantine = slices.Clone(out.Quarantine)
	return out
}

// Position returns the position of the last change that had an effect or order that
// was acknowledged.
func (m *Machine) Position() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	position := m.state.Index
	for _, index := range m.state.OrderIndex {
		position = max(position, index)
	}
	return position
}

// Changed returns a channel that is closed at the next effect.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed.Next()
}

// Ordered returns a channel that is closed at the next order for a failure domain that is
// acknowledged, whether it has an effect or not.
func (m *Machine) Ordered() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ordered.Next()
}

// Apply implements replica.StateMachine.
func (m *Machine) Apply(index uint64, command []byte) []byte {
	var in Command
	if err := cbor.Unmarshal(command, &in); err != nil {
		return []byte(err.Error())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if in.Withdraw != nil {
		m.state.logOrder(index, *in.Withdraw)
		if m.state.isOutdated(*in.Withdraw) {
			return []byte(ErrOutdated.Error())
		}
		m.state.trackOrder(index, *in.Withdraw)
		m.ordered.Send()
	}
	if !m.state.apply(index, in) {
		return nil
	}
	m.state.Index = index
	if in.Weights != nil {
		m.recordWeights(*in.Weights)
	}
	m.changed.Send()
	return nil
}

// logOrder logs what decides whether an order for a failure domain has an effect. It is
// called before the order is applied.
func (s *State) logOrder(index uint64, c DomainChange) {
	effect := "None"
	switch {
	case s.isOutdated(c):
		effect = "Outdated"
	case s.Withdrawn[c.Domain] != c.Out:
		effect = "Changed"
	}
	after := "unknown"
	if c.After != nil {
		after = strconv.FormatUint(*c.After, 10)
	}
	klog.InfoS("Order for a failure domain was applied", "Domain", c.Domain, "Out", c.Out, "Position", index,
		"After", after, "DomainPosition", s.domainPosition(c.Domain), "Effect", effect)
}

// domainPosition returns the position of the last order for a failure domain that was
// acknowledged.
func (s *State) domainPosition(d id.Domain) uint64 { return max(s.DomainIndex[d], s.OrderIndex[d]) }

// isOutdated reports whether a change would undo an order that was acknowledged and may
// be newer than its own. A change that is already in effect is not outdated, since an
// order that was accepted may come again.
func (s *State) isOutdated(c DomainChange) bool {
	return c.After != nil && s.Withdrawn[c.Domain] != c.Out && s.domainPosition(c.Domain) > *c.After
}

// trackOrder records an order that is acknowledged. One that changes nothing counts as
// well: an older order to the contrary may still be on its way. So does one that may
// itself be old, as its operator may have sent it just now on a connection that has long
// been open.
func (s *State) trackOrder(index uint64, c DomainChange) {
	if !c.Tracked {
		return
	}
	if s.OrderIndex == nil {
		s.OrderIndex = map[id.Domain]uint64{}
	}
	s.OrderIndex[c.Domain] = index
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
		if s.DomainIndex == nil {
			s.DomainIndex = map[id.Domain]uint64{}
		}
		s.DomainIndex[in.Withdraw.Domain] = index
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
	case in.Quarantine != nil:
		return s.applyQuarantine(index, *in.Quarantine)
	default:
		return false
	}
	return true
}

// Snapshot implements replica.StateMachine.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return cbor.Marshal(m.state)
}

// Restore implements replica.StateMachine.
func (m *Machine) Restore(data []byte) error {
	var s State
	if err := cbor.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "decode site state")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = s
	m.weightsVersions = nil
	for model, v := range s.Weights {
		m.recordWeights(WeightsChange{Model: model, Version: v, NamedMs: s.NamedMs[model]})
	}
	m.changed.Send()
	m.ordered.Send()
	return nil
}
