package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"egretproxy/internal/control/lease"
	"egretproxy/internal/control/ledger"
	"egretproxy/internal/control/lifecycle"
	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/clock"
	"egretproxy/internal/weights/fetch"
	"egretproxy/internal/weights/manifest"
	"egretproxy/internal/weights/planner"
	"egretproxy/internal/wire/api"
)

const (
	announceTimeout = 10 * time.Second
	// announceJitter is the maximum random delay of the first announcement. It
	// spreads the announcements of agents that start together.
	announceJitter  = 300 * time.Millisecond
	renewRetryDelay = 50 * time.Millisecond
	// maxDoublings bounds the exponential growth of renewRetryDelay.
	maxDoublings = 4
	// defaultLeaveDelay is the time for entries to learn of the shutdown. Their
	// renewals are far more frequent. The requests that they send meanwhile are
	// refused as not run.
	defaultLeaveDelay = lease.Duration
	roleName          = "Agent"
)

// renew announces the target and then renews the lease about every
// lease.RenewInterval. It returns ErrReplaced if a newer session of the target
// exists, and nil when ctx ends or the session of a leaving agent has ended.
func (a *Agent) renew(ctx context.Context) error {
	if !clock.Sleep(ctx, rand.N(announceJitter)) {
		return nil
	}
	failures := 0
	for ctx.Err() == nil {
		if a.sessionFence() == 0 {
			if a.isLeaving() {
				return nil
			}
			a.announce(ctx)
			continue
		}
		wait := lease.RenewInterval
		if err := a.renewOnce(ctx); err != nil {
			if errors.Is(err, ErrReplaced) {
				a.lease.Drop()
				return err
			}
			a.metrics.Count("RenewalFailed")
			wait = min(renewRetryDelay<<min(failures, maxDoublings), lease.RenewInterval)
			failures++
		} else {
			failures = 0
		}
		clock.Sleep(ctx, wait/2+rand.N(wait))
	}
	return nil
}

// isLeaving reports whether a graceful shutdown has begun.
func (a *Agent) isLeaving() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leaving
}

// sessionFence returns the fence of the session, or zero if there is none.
func (a *Agent) sessionFence() id.Fence {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.session
}

// announce starts a session if the target answers, since the announcement
// contains the target's start number. After a failure it waits for one
// interval; the caller tries again.
func (a *Agent) announce(ctx context.Context) {
	s, err := a.backend.Status(ctx)
	if err != nil {
		clock.Sleep(ctx, lease.RenewInterval)
		return
	}
	t := a.cfg.Agent.Target
	e, err := ledger.Encode("AnnounceTargets", &ledger.AnnounceTargets{Targets: []view.Target{{
		ID: t.ID, Kind: a.backend.Kind(), Service: t.Service,
		Domain: a.cfg.Process.Domain, Region: a.cfg.Process.Region,
		Address: a.cfg.Agent.Listen, Start: s.Start, Slots: t.Slots,
	}}})
	if err != nil {
		klog.ErrorS(err, "Failed to encode announcement")
		return
	}
	e.Request = id.NewRequest()
	callCtx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	answer, err := a.keepers.Submit(callCtx, e)
	if err != nil || answer.Code != ledger.CodeDone {
		a.metrics.Count("AnnouncementFailed")
		clock.Sleep(ctx, lease.RenewInterval)
		return
	}
	a.mu.Lock()
	a.session = id.Fence(answer.Version)
	a.targetStart = s.Start
	a.mu.Unlock()
}

// renewOnce renews the lease once and applies the confirmed changes. It
// returns ErrReplaced if a newer session of the target exists.
func (a *Agent) renewOnce(ctx context.Context) error {
	sent := time.Now()
	var out api.RenewResponse
	callCtx, cancel := context.WithTimeout(ctx, lease.Duration)
	defer cancel()
	if err := a.keepers.Call(callCtx, api.MethodRenew, a.renewRequest(), &out); err != nil {
		return err
	}
	if out.Replaced {
		return ErrReplaced
	}
	if out.Unknown {
		a.lease.Drop()
		a.mu.Lock()
		a.session = 0
		a.mu.Unlock()
		return nil
	}
	a.applyDelta(out.Delta, sent)
	return nil
}

func (a *Agent) renewRequest() api.RenewRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	return api.RenewRequest{Subscriber: api.Subscriber{
		Name: string(a.cfg.Agent.Target.ID), Role: roleName,
		Target: a.cfg.Agent.Target.ID, Session: a.session, Have: a.view.Version,
		Report: &api.Report{
			Phase: a.phase, Installed: a.installed, Held: a.held, Start: a.targetStart,
			Reason: a.reason, InFlight: a.gate.InFlight(), Limit: a.ramp.RampedLimit(),
		},
	}}
}

// applyDelta applies a confirmed version to the view and the gate, and then
// extends the lease from the time at which the renewal was sent. If this
// session took over from another, it waits until the other's lease must have
// expired before it extends its own.
func (a *Agent) applyDelta(d view.Delta, sent time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.view.Targets[a.cfg.Agent.Target.ID]
	a.view = a.view.With(d)
	after := a.view.Targets[a.cfg.Agent.Target.ID]
	a.gate.SetInService(a.view.InService(a.cfg.Process.Domain))
	if after.Session != before.Session && after.Takeover {
		a.oldSessionUntil = time.Now().Add(lease.Duration)
	}
	if time.Now().After(a.oldSessionUntil) {
		a.lease.Extend(sent)
	}
	if before.Staged != after.Staged || before.Assigned != after.Assigned {
		a.signalOrders()
	}
}

// leave ends the session, so that keepers no longer list the target as a peer,
// and waits until no request is in progress.
func (a *Agent) leave(ctx context.Context) {
	a.mu.Lock()
	a.leaving = true
	a.transition(lifecycle.Leave, a.installed, "graceful shutdown")
	session := a.session
	a.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if session != 0 {
		_, err := a.keepers.SubmitChange(callCtx, "RemoveTargets", &ledger.RemoveTargets{
			Targets: []ledger.TargetSession{{Target: a.cfg.Agent.Target.ID, Session: session}},
		})
		if err != nil {
			klog.ErrorS(err, "Failed to remove the target from the replicated state")
		}
	}
	clock.Sleep(ctx, a.leaveDelay)
	select {
	case <-a.gate.Idle():
	case <-time.After(a.cfg.Agent.DrainTimeout.Std()):
		klog.InfoS("Drain timeout exceeded; waiting for requests in progress", "InFlight", a.gate.InFlight())
		<-a.gate.Idle()
	}
}

// peers asks a keeper for the agents that hold or fetch the same content.
func (a *Agent) peers(ctx context.Context, d manifest.Digest) ([]fetch.Peer, error) {
	var out api.PeersResponse
	in := api.PeersRequest{Manifest: string(d), Target: a.cfg.Agent.Target.ID}
	if err := a.keepers.Call(ctx, api.MethodPeers, in, &out); err != nil {
		return nil, err
	}
	peers := make([]fetch.Peer, 0, len(out.Peers))
	for _, p := range out.Peers {
		peers = append(peers, fetch.Peer{
			Member: planner.Member{Target: p.Target, Region: p.Region}, Address: p.Address,
		})
	}
	return peers, nil
}
