package keeper

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"egretproxy/internal/agreement/record"
	"egretproxy/internal/control/ledger"
	"egretproxy/internal/control/rollout"
	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/wire/api"
)

const (
	// leaderInterval is the time between two looks at rollouts and targets.
	leaderInterval = 100 * time.Millisecond
	// idlePlanInterval is the time between two looks at targets while no rollout
	// is in progress.
	idlePlanInterval = 1 * time.Second
	// leaderChangeTimeout bounds one change that the leader makes by itself.
	leaderChangeTimeout = 2 * time.Second
	// catchUpEntries is the lag at which a learner becomes a voter.
	catchUpEntries = 64
	systemOperator = "egretproxy"
)

// runLeaderDuties does the leader's own work until the context ends.
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

// rolloutDue reports whether to look at the rollout now: at each interval
// while one is in progress, else once in idlePlanInterval, for repairs.
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

// submitSystemChange makes a submitSystemChange on behalf of the system.
func (k *Keeper) submitSystemChange(ctx context.Context, name string, c ledger.Change) {
	e, err := ledger.Encode(name, c)
	if err != nil {
		klog.ErrorS(err, "Change can't be encoded", "Change", name)
		return
	}
	e.Operator = systemOperator
	ctx, cancel := context.WithTimeout(ctx, leaderChangeTimeout)
	defer cancel()
	a, err := k.submit(ctx, e)
	if err != nil {
		klog.V(1).InfoS("Change was not made", "Change", name, "Error", err.Error())
		return
	}
	if a.Code != ledger.CodeDone {
		klog.V(1).InfoS("Change was refused", "Change", name, "Code", a.Code, "Text", a.Text)
	}
}

// admitMembers takes one step of a membership change: a member that asked to
// join becomes a learner, then a voter, and then replaces the one whose disk
// was lost.
func (k *Keeper) admitMembers(ctx context.Context) {
	s := k.replica.Status()
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

// caughtUp reports whether a learner has answered and lacks little. One that
// never answered must not become a voter, since a quorum may then need it.
func caughtUp(match, last uint64) bool {
	return match > 0 && match+catchUpEntries >= last
}

// nextMembership returns the membership after the next step for a joiner. ok
// is false when nothing is left to do.
func nextMembership(m record.Membership, j record.Member, ready bool) (record.Membership, bool) {
	c, known := m.Find(j.ID)
	if !known {
		return m.With(j), true
	}
	if !c.Voter {
		if !ready {
			return m, true
		}
		c.Voter = true
		return m.With(c), true
	}
	for _, old := range m.Members {
		if old.Name == j.Name && old.ID != j.ID {
			return m.Without(old.ID), true
		}
	}
	return m, false
}

// removeSilentTargets removes targets whose agents no longer renew.
func (k *Keeper) removeSilentTargets(ctx context.Context) {
	v := k.viewCopy()
	var gone ledger.RemoveTargets
	for _, t := range k.subscribers.Silent(v.Targets, k.cfg.Keeper.LossTimeout.Std()) {
		gone.Targets = append(gone.Targets, ledger.TargetSession{Target: t, Session: v.Targets[t].Session})
	}
	if len(gone.Targets) == 0 {
		return
	}
	klog.InfoS("Targets are silent and removed", "Count", len(gone.Targets))
	k.metrics.CountBy("TargetsRemoved", "Silent", len(gone.Targets))
	k.submitSystemChange(ctx, "RemoveTargets", &gone)
}

// recordReports writes down what agents report where it differs from what is
// known.
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

// advanceRollout gives the next orders.
func (k *Keeper) advanceRollout(ctx context.Context) {
	v := k.viewCopy()
	step := rollout.Plan(&v, k.reports(v))
	switch {
	case step.Halt != "":
		klog.InfoS("Rollout is halted", "Bundle", v.Rollout.Next, "Reason", step.Halt)
		k.submitSystemChange(ctx, "HaltRollout", &ledger.HaltRollout{Bundle: v.Rollout.Next, Reason: step.Halt})
	case len(step.Orders) > 0:
		k.submitSystemChange(ctx, "OrderTargets", &ledger.OrderTargets{Rollout: v.Rollout.Changed, Orders: step.Orders})
	case step.Complete:
		klog.InfoS("Rollout is complete", "Bundle", v.Rollout.Next)
		k.submitSystemChange(ctx, "CompleteRollout", &ledger.CompleteRollout{Bundle: v.Rollout.Next})
	}
}

func (k *Keeper) reports(v view.View) map[id.Target]api.Report {
	return k.subscribers.Reports(v.Targets)
}
