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
	// announceJitter spreads announcements of agents that start together.
	announceJitter  = 300 * time.Millisecond
	renewRetryPause = 50 * time.Millisecond
	// maxDoublings bounds the growth of the pause after failed renewals.
	maxDoublings = 4
	leaveDelay   = 200 * time.Millisecond
	roleName     = "Agent"
)

// renew announces the target and then confirms, twice a second, what the
// agent believes.
func (a *Agent) renew(ctx context.Context) error {
	if !clock.Sleep(ctx, rand.N(announceJitter)) {
		return nil
	}
	failures := 0
	for ctx.Err() == nil {
		if a.sessionFence() == 0 {
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
			wait = min(renewRetryPause<<min(failures, maxDoublings), lease.RenewInterval)
			failures++
		} else {
			failures = 0
		}
		clock.Sleep(ctx, wait/2+rand.N(wait))
	}
	return nil
}

func (a *Agent) sessionFence() id.Fence {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.session
}

// announce starts a session. It waits for the target to answer first, so that
// its start number is known.
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
		klog.ErrorS(err, "Announcement can't be encoded")
		return
	}
	e.Request = id.NewRequest()
	call, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	answer, err := a.keepers.Submit(call, e)
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

func (a *Agent) renewOnce(ctx context.Context) error {
	sent := time.Now()
	var out api.RenewResponse
	call, cancel := context.WithTimeout(ctx, lease.Duration)
	defer cancel()
	if err := a.keepers.Call(call, api.MethodRenew, a.renewRequest(), &out); err != nil {
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

// applyDelta puts a confirmed version in force and then extends the lease.
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

// leave ends the session, lets requests in progress end, and tells peers no
// more.
func (a *Agent) leave(ctx context.Context) {
	a.mu.Lock()
	a.leaving = true
	a.transition(lifecycle.Leave, a.installed, "graceful shutdown")
	session := a.session
	a.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if session != 0 {
		_, err := a.keepers.SubmitChange(call, "RemoveTargets", &ledger.RemoveTargets{
			Targets: []ledger.TargetSession{{Target: a.cfg.Agent.Target.ID, Session: session}},
		})
		if err != nil {
			klog.ErrorS(err, "Leave was not recorded")
		}
	}
	// Requests that are on their way get a truthful refusal.
	clock.Sleep(ctx, leaveDelay)
	select {
	case <-a.gate.Idle():
	case <-time.After(a.cfg.Agent.DrainTimeout.Std()):
		klog.InfoS("Requests are still in progress after the drain timeout", "InFlight", a.gate.InFlight())
		<-a.gate.Idle()
	}
}

// peers lists the agents with the same content.
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
