// Package lifecycle defines the state machines of bundles, failure domains and
// targets.
package lifecycle

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/qmuntal/stateless"

	"egretproxy/internal/control/view"
)

// ErrNotAllowed is returned if the state does not permit the trigger.
var ErrNotAllowed = errors.New("not allowed in this state")

// Trigger is an event that causes a state transition.
type Trigger string

// Triggers of bundles.
const (
	Approve   Trigger = "Approve"
	Roll      Trigger = "Roll"
	Complete  Trigger = "Complete"
	Halt      Trigger = "Halt"
	Supersede Trigger = "Supersede"
)

// Triggers of failure domains.
const (
	Withdraw Trigger = "Withdraw"
	Return   Trigger = "Return"
)

// Triggers of targets.
const (
	Drain   Trigger = "Drain"
	Drained Trigger = "Drained"
	Loaded  Trigger = "Loaded"
	Warmed  Trigger = "Warmed"
	Fail    Trigger = "Fail"
	Drop    Trigger = "Drop"
	Ready   Trigger = "Ready"
	Leave   Trigger = "Leave"
	Order   Trigger = "Order"
)

// Bundle returns the state of a bundle after a trigger, or the given state and
// ErrNotAllowed.
func Bundle(s view.BundleState, t Trigger) (view.BundleState, error) {
	m := stateless.NewStateMachine(s)
	m.Configure(view.BundleDraft).Permit(Approve, view.BundleApproved)
	m.Configure(view.BundleApproved).
		Permit(Roll, view.BundleRolling)
	m.Configure(view.BundleRolling).
		Permit(Complete, view.BundleInForce).
		Permit(Halt, view.BundleHalted).
		Permit(Supersede, view.BundleSuperseded)
	m.Configure(view.BundleHalted).
		Permit(Supersede, view.BundleSuperseded)
	m.Configure(view.BundleInForce).
		Permit(Supersede, view.BundleSuperseded)
	m.Configure(view.BundleSuperseded).
		Permit(Roll, view.BundleRolling)
	next, err := fire(m, t)
	if err != nil {
		return s, err
	}
	return next.(view.BundleState), nil
}

// Domain returns the state of a failure domain after a trigger, or the given
// state and ErrNotAllowed. An empty state means in service.
func Domain(s view.DomainState, t Trigger) (view.DomainState, error) {
	if s == "" {
		s = view.DomainInService
	}
	m := stateless.NewStateMachine(s)
	m.Configure(view.DomainInService).Permit(Withdraw, view.DomainWithdrawn)
	m.Configure(view.DomainWithdrawn).Permit(Return, view.DomainInService)
	next, err := fire(m, t)
	if err != nil {
		return s, err
	}
	return next.(view.DomainState), nil
}

// Target returns the phase of a target after a trigger, or the given phase and
// ErrNotAllowed. An empty phase means PhaseEmpty.
func Target(p view.Phase, t Trigger) (view.Phase, error) {
	if p == "" {
		p = view.PhaseEmpty
	}
	m := stateless.NewStateMachine(p)
	m.Configure(view.PhaseEmpty).
		Permit(Order, view.PhaseLoading).
		Permit(Ready, view.PhaseServing).
		Permit(Leave, view.PhaseLeaving)
	m.Configure(view.PhaseServing).
		Permit(Drain, view.PhaseDraining).
		Permit(Drop, view.PhaseEmpty).
		Permit(Fail, view.PhaseFailed).
		Permit(Leave, view.PhaseLeaving)
	m.Configure(view.PhaseWarming).
		Permit(Drop, view.PhaseEmpty).
		Permit(Warmed, view.PhaseServing).
		Permit(Fail, view.PhaseFailed).
		Permit(Leave, view.PhaseLeaving)
	m.Configure(view.PhaseDraining).
		Permit(Drained, view.PhaseLoading).
		Permit(Fail, view.PhaseFailed).
		Permit(Leave, view.PhaseLeaving)
	m.Configure(view.PhaseLoading).
		Permit(Loaded, view.PhaseWarming).
		Permit(Fail, view.PhaseFailed).
		Permit(Leave, view.PhaseLeaving)
	m.Configure(view.PhaseFailed).
		Permit(Order, view.PhaseLoading).
		Permit(Leave, view.PhaseLeaving)
	next, err := fire(m, t)
	if err != nil {
		return p, err
	}
	return next.(view.Phase), nil
}

func fire(m *stateless.StateMachine, t Trigger) (stateless.State, error) {
	ok, err := m.CanFire(t)
	if err != nil {
		return nil, errors.Wrap(err, "check trigger")
	}
	if !ok {
		return nil, errors.Wrapf(ErrNotAllowed, "%s in state %v", t, m.MustState())
	}
	if err := m.Fire(t); err != nil {
		return nil, errors.Wrap(err, "fire trigger")
	}
	return m.State(context.Background())
}
