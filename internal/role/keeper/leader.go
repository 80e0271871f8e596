package keeper

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"egretproxy/internal/agreement/identity"
	"egretproxy/internal/agreement/raft"
	"egretproxy/internal/agreement/record"
	"egretproxy/internal/agreement/replica"
	"egretproxy/internal/control/ledger"
	"egretproxy/internal/control/rollout"
	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/wire/api"
)

const (
	// leaderInterval is the time between two checks of members, targets and a
	// rollout in progress.
	leaderInterval = 100 * time.Millisecond
	// idlePlanInterval is the time between two plans while no rollout is in
	// progress.
	idlePlanInterval = 1 * time.Second
	// leaderChangeTimeout limits one change that the leader submits itself.
	leaderChangeTimeout = 2 * time.Second
	// catchUpEntries is the maximum lag, in log entries, at which a learner may
	// become a voter.
	catchUpEntries = 64
	// systemOperator is the author of changes that the leader submits itself.
	systemOperator = "egretproxy"
)

// runLeaderDuties changes the membership, removes targets, records reports and
// advances rollouts while this keeper leads, until the context ends.
func (k *Keeper) runLeaderDuties(ctx context.Context) error {
	ticker := time.NewTicker(leaderInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if !k.replica.Status().IsLeader {
			continue
		}
		k.admitMembers(ctx)
		k.removeSilentTargets(ctx)
		k.recordReports(ctx)
		if k.rolloutDue() {
			k.advanceRollout(ctx)
		}
	}
}

// rolloutDue reports whether to plan the rollout now: at each call while one is
// in progress, otherwise once per idlePlanInterval, to repair lost replicas.
func (k *Keeper) rolloutDue() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ledger.View().Rollout.Next == "" && time.Since(k.lastPlan) < idlePlanInterval {
		return false
	}
	k.lastPlan = time.Now()
	return true
}

func (k *Keeper) viewCopy() view.View {
	k.mu.Lock()
	defer k.mu.Unlock()
	return copyView(k.ledger.View())
}

// submitSystemChange submits a change as systemOperator. Errors are only logged.
func (k *Keeper) submitSystemChange(ctx context.Context, name string, c ledger.Change) {
	e, err := ledger.Encode(name, c)
	if err != nil {
		klog.ErrorS(err, "Failed to encode change", "Change", name)
		return
	}
	e.Operator = systemOperator
	ctx, cancel := context.WithTimeout(ctx, leaderChangeTimeout)
	defer cancel()
	a, err := k.submit(ctx, e)
	if err != nil {
		klog.V(1).InfoS("Failed to submit change", "Change", name, "Error", err.Error())
		return
	}
	if a.Code != ledger.CodeDone {
		klog.V(1).InfoS("Change was refused", "Change", name, "Code", a.Code, "Text", a.Text)
	}
}

// admitMembers proposes one step of a membership change. A member that requested
// to join becomes a learner, then a voter, and then replaces the member whose
// disk was lost. The last step depends only on the log, since the new member
// stops requesting once it is a voter, and the leader may change before that step.
func (k *Keeper) admitMembers(ctx context.Context) {
	s := k.replica.Status()
	if next, ok := withoutReplaced(s); ok {
		if k.replica.ChangeMembership(ctx, next) {
			klog.InfoS("Membership changes", "Members", len(next.Members))
		}
		return
	}
	k.mu.Lock()
	joiners := make([]record.Member, 0, len(k.joiners))
	for _, m := range k.joiners {
		joiners = append(joiners, m)
	}
	k.mu.Unlock()
	for _, j := range joiners {
		next, ok := nextMembership(s.Membership, j, caughtUp(s.MatchIndexes[j.ID], s.LastIndex))
		if !ok {
			k.mu.Lock()
			delete(k.joiners, j.Address)
			k.mu.Unlock()
			continue
		}
		if k.replica.ChangeMembership(ctx, next) {
			klog.InfoS("Membership changes", "Joiner", j.ID, "Members", len(next.Members))
		}
		return
	}
}

// withoutReplaced returns the membership without one member that a voter
// replaces. The second result is false if there is none, or while the voter may
// lack an entry that the replaced member holds.
func withoutReplaced(s replica.Status) (record.Membership, bool) {
	for _, c := range s.Membership.Members {
		if !c.Voter || !holdsCommitted(s, c.ID) {
			continue
		}
		for _, old := range s.Membership.Members {
			if replaces(c, old) {
				return s.Membership.Without(old.ID), true
			}
		}
	}
	return s.Membership, false
}

// replaces reports whether c is a later member of the same keeper. Without a
// generation, as in older logs, only the bootstrap ID is known to be the earlier
// one.
func replaces(c, old record.Member) bool {
	if c.Name != old.Name || c.ID == old.ID {
		return false
	}
	if c.Generation == old.Generation {
		return old.ID == identity.BootstrapID(old.Name)
	}
	return c.Generation > old.Generation
}

// holdsCommitted reports whether a member has responded recently and stores
// every entry that is committed.
func holdsCommitted(s replica.Status, k id.Keeper) bool {
	if k == s.ID {
		return true
	}
	return s.MatchIndexes[k] >= s.Commit && s.InactiveTicks[k] < raft.DefaultElectionTicks
}

// caughtUp reports whether a learner has responded and lags by at most
// catchUpEntries. A learner that never responded must not become a voter, since
// a quorum may then depend on it.
func caughtUp(match, last uint64) bool {
	return match > 0 && match+catchUpEntries >= last
}

// nextMembership returns the membership after the next step for a joiner, up to
// its vote. ready means that the joiner has caught up. The second result is false
// when nothing is left to do.
func nextMembership(m record.Membership, j record.Member, ready bool) (record.Membership, bool) {
	c, known := m.Find(j.ID)
	if !known {
		j.Generation = m.NextGeneration(j.Name)
		return m.With(j), true
	}
	if c.Voter {
		return m, false
	}
	if !ready {
		return m, true
	}
	c.Voter = true
	if c.Generation == 0 {
		// The learner was added by a version that did not store it.
		c.Generation = m.NextGeneration(c.Name)
	}
	return m.With(c), true
}

// removeSilentTargets removes targets whose agents have not renewed within the
// loss timeout.
func (k *Keeper) removeSilentTargets(ctx context.Context) {
	v := k.viewCopy()
	var removal ledger.RemoveTargets
	for _, t := range k.subscribers.Silent(v.Targets, k.cfg.Keeper.LossTimeout.Std()) {
		removal.Targets = append(removal.Targets, ledger.TargetSession{Target: t, Session: v.Targets[t].Session})
	}
	if len(removal.Targets) == 0 {
		return
	}
	klog.InfoS("Removing targets whose agents stopped renewing", "Count", len(removal.Targets))
	k.metrics.CountBy("TargetsRemoved", "Silent", len(removal.Targets))
	k.submitSystemChange(ctx, "RemoveTargets", &removal)
}

// recordReports submits the agents' reports that differ from the recorded state.
func (k *Keeper) recordReports(ctx context.Context) {
	v := k.viewCopy()
	var out ledger.ReportTargets
	for t, r := range k.subscribers.Reports(v.Targets) {
		known := v.Targets[t]
		same := known.Phase == r.Phase && known.Installed == r.Installed &&
			known.Start == r.Start && known.Reason == r.Reason
		if same {
			continue
		}
		out.Reports = append(out.Reports, ledger.TargetReport{
			TargetSession: ledger.TargetSession{Target: t, Session: known.Session},
			Phase:         r.Phase, Installed: r.Installed, Start: r.Start, Reason: r.Reason,
		})
	}
	if len(out.Reports) > 0 {
		k.submitSystemChange(ctx, "ReportTargets", &out)
	}
}

// advanceRollout submits the next step of the rollout.
func (k *Keeper) advanceRollout(ctx context.Context) {
	v := k.viewCopy()
	step := rollout.Plan(&v, k.reports(v))
	switch {
	case step.Halt != "":
		klog.InfoS("Halting rollout", "Bundle", v.Rollout.Next, "Reason", step.Halt)
		k.submitSystemChange(ctx, "HaltRollout", &ledger.HaltRollout{Bundle: v.Rollout.Next, Reason: step.Halt})
	case len(step.Orders) > 0:
		k.submitSystemChange(ctx, "OrderTargets", &ledger.OrderTargets{Rollout: v.Rollout.Changed, Orders: step.Orders})
	case step.Complete:
		klog.InfoS("Completing rollout", "Bundle", v.Rollout.Next)
		k.submitSystemChange(ctx, "CompleteRollout", &ledger.CompleteRollout{Bundle: v.Rollout.Next})
	}
}

func (k *Keeper) reports(v view.View) map[id.Target]api.Report {
	return k.subscribers.Reports(v.Targets)
}
