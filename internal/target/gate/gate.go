// Package gate implements admission control at a target. The requests of all
// entries pass through it, so it enforces exactly the rules that several entries
// could break together.
package gate

import (
	"sync"

	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/request/refusal"
)

// maxRememberedAttempts is the number of attempt ids that are remembered to
// refuse duplicates.
const maxRememberedAttempts = 65_536

// Lease reports whether the agent's view of the configuration is still
// confirmed by the keepers.
type Lease interface {
	Valid() bool
}

// Limiter returns the number of concurrent requests that the target can handle
// at present.
type Limiter interface {
	Limit() int
}

// Request holds the properties of a request that decide on its admission.
type Request struct {
	// Attempt is the id that duplicates share. Empty means that duplicates
	// are admitted.
	Attempt id.Request
	// Model is empty for plain services.
	Model id.Model
	// Bundle is the required bundle. Empty means any.
	Bundle id.Bundle
}

// Permit admits one request. The caller must release it when the request ends.
type Permit struct {
	// Installed is the content that the target served at admission.
	Installed view.Assignment
	gate      *Gate
	once      sync.Once
}

// Release returns the permit to the gate. Further calls have no effect.
func (t *Permit) Release() {
	t.once.Do(t.gate.release)
}

// Gate admits requests to one target. It is safe for concurrent use.
type Gate struct {
	lease   Lease
	limiter Limiter

	mu sync.Mutex
	// inService is false while the failure domain is withdrawn.
	inService bool
	phase     view.Phase
	installed view.Assignment
	inFlight  int
	// attempts holds the ids of admitted attempts, attemptOrder the same ids
	// from oldest to newest.
	attempts     map[id.Request]struct{}
	attemptOrder []id.Request
	// idle is closed when the last request ends. It is nil while there is no
	// waiter.
	idle chan struct{}
}

// New returns a gate that refuses requests until SetInService and SetPhase
// permit them.
func New(lease Lease, limiter Limiter) *Gate {
	return &Gate{lease: lease, limiter: limiter, attempts: map[id.Request]struct{}{}}
}

// SetInService sets whether the failure domain may receive new requests.
func (g *Gate) SetInService(v bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inService = v
}

// SetPhase sets the target's phase and the content that it serves.
func (g *Gate) SetPhase(p view.Phase, installed view.Assignment) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.phase = p
	g.installed = installed
}

// Admit returns a permit for the request, or the refusal if it may not run.
func (g *Gate) Admit(r Request) (*Permit, *refusal.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if reason := g.refusalReason(r); reason != "" {
		return nil, refusal.Unavailable(reason, "target takes no work: "+string(reason), 0)
	}
	g.rememberAttempt(r.Attempt)
	g.inFlight++
	return &Permit{Installed: g.installed, gate: g}, nil
}

func (g *Gate) refusalReason(r Request) refusal.Reason {
	if !g.lease.Valid() {
		return refusal.LeaseExpired
	}
	if !g.inService {
		return refusal.DomainWithdrawn
	}
	switch g.phase {
	case view.PhaseServing:
	case view.PhaseDraining:
		return refusal.TargetDraining
	case view.PhaseLeaving:
		return refusal.TargetLeaving
	default:
		return refusal.TargetNotServing
	}
	if r.Model != g.installed.Model {
		return refusal.OtherModel
	}
	if r.Bundle != "" && r.Bundle != g.installed.Bundle {
		return refusal.OtherBundle
	}
	if _, ok := g.attempts[r.Attempt]; ok && r.Attempt != "" {
		return refusal.AttemptSeen
	}
	if g.inFlight >= g.limiter.Limit() {
		return refusal.TargetFull
	}
	return ""
}

func (g *Gate) rememberAttempt(a id.Request) {
	if a == "" {
		return
	}
	g.attempts[a] = struct{}{}
	g.attemptOrder = append(g.attemptOrder, a)
	if len(g.attemptOrder) > maxRememberedAttempts {
		delete(g.attempts, g.attemptOrder[0])
		g.attemptOrder = g.attemptOrder[1:]
	}
}

func (g *Gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if g.inFlight == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// Idle returns a channel that is closed once no requests are in flight.
func (g *Gate) Idle() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inFlight == 0 {
		done := make(chan struct{})
		close(done)
		return done
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	return g.idle
}

// InFlight returns the number of admitted requests that have not ended.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}
