// Package gate is the one place where work enters a target. It holds exactly
// what several entries together could break.
package gate

import (
	"sync"

	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/request/refusal"
)

// maxRememberedAttempts bounds the attempts that are remembered.
const maxRememberedAttempts = 65_536

// Lease tells whether what the agent believes is confirmed.
type Lease interface {
	Valid() bool
}

// Limiter tells how many requests the target bears now.
type Limiter interface {
	Limit() int
}

// Request is what the gate needs to know of a request.
type Request struct {
	Attempt id.Request
	// Model is empty for plain services.
	Model id.Model
	// Bundle is set if only this version may answer.
	Bundle id.Bundle
}

// Permit is the permission for one request.
type Permit struct {
	// Installed is the content that the target serves.
	Installed view.Assignment
	gate      *Gate
	once      sync.Once
}

// Release gives the permission back.
func (t *Permit) Release() {
	t.once.Do(t.gate.release)
}

// Gate admits requests to one target.
type Gate struct {
	lease   Lease
	limiter Limiter

	mu sync.Mutex
	// inService is false while the failure domain is withdrawn.
	inService bool
	phase     view.Phase
	installed view.Assignment
	inFlight  int
	// attempts is the attempts taken, the oldest first in order.
	attempts     map[id.Request]struct{}
	attemptOrder []id.Request
	// idle is closed when the last request ends. It is nil while nobody
	// waits.
	idle chan struct{}
}

// New returns a gate that is closed until a phase is set.
func New(lease Lease, limit Limiter) *Gate {
	return &Gate{lease: lease, limiter: limit, attempts: map[id.Request]struct{}{}}
}

// SetInService says whether the failure domain may receive new work.
func (g *Gate) SetInService(v bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inService = v
}

// SetPhase says what the target does and which content it serves.
func (g *Gate) SetPhase(p view.Phase, installed view.Assignment) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.phase = p
	g.installed = installed
}

// Admit takes in a request or tells why not.
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

// Idle returns a channel that is closed once no request is in progress.
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

// InFlight returns the requests in progress.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}
