package ledger

import (
	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
)

func init() {
	register("AnnounceTargets", func() Change { return &AnnounceTargets{} })
	register("RemoveTargets", func() Change { return &RemoveTargets{} })
	register("OrderTargets", func() Change { return &OrderTargets{} })
	register("ReportTargets", func() Change { return &ReportTargets{} })
}

// AnnounceTargets adds targets or starts new sessions of known ones. The
// session of each is the position of the change.
type AnnounceTargets struct {
	Targets []view.Target
}

// Apply starts the sessions. A target keeps its orders over a new session.
func (a *AnnounceTargets) Apply(l *Ledger, c Context) Answer {
	for _, t := range a.Targets {
		if t.ID == "" || t.Domain == "" || t.Address == "" {
			continue
		}
		if old, ok := l.view.Targets[t.ID]; ok {
			t.Staged = old.Staged
			t.Assigned = old.Assigned
			t.Takeover = true
		}
		t.Session = id.Fence(c.Version)
		t.Phase = view.PhaseEmpty
		t.Installed = view.Assignment{}
		l.putTarget(t, c.Version)
		l.ensureDomain(t.Domain, t.Region, c)
	}
	return Answer{}
}

// TargetSession names one session of a target.
type TargetSession struct {
	Target  id.Target
	Session id.Fence
}

// RemoveTargets ends sessions of targets that left or were lost.
type RemoveTargets struct {
	Targets []TargetSession
}

// Apply removes the targets whose session is still the named one.
func (r *RemoveTargets) Apply(l *Ledger, c Context) Answer {
	for _, s := range r.Targets {
		if t, ok := l.view.Targets[s.Target]; ok && t.Session == s.Session {
			l.removeTarget(s.Target, c.Version)
		}
	}
	return Answer{}
}

// TargetOrder says what a target is to fetch and to serve. A nil field stays
// as it is.
type TargetOrder struct {
	Target   id.Target
	Staged   *view.Assignment
	Assigned *view.Assignment
}

// OrderTargets gives orders on behalf of a rollout. They are void if the
// rollout has changed since they were worked out.
type OrderTargets struct {
	// Rollout is the version of the rollout that the orders follow.
	Rollout id.Version
	Orders  []TargetOrder
}

// Apply gives the orders. Their fence is the position of the change.
func (o *OrderTargets) Apply(l *Ledger, c Context) Answer {
	if o.Rollout != l.view.Rollout.Changed {
		return refuse(CodeReplaced, "the rollout has changed")
	}
	for _, order := range o.Orders {
		t, ok := l.view.Targets[order.Target]
		if !ok {
			continue
		}
		if order.Staged != nil {
			t.Staged = *order.Staged
			t.Staged.Fence = id.Fence(c.Version)
		}
		if order.Assigned != nil {
			t.Assigned = *order.Assigned
			t.Assigned.Fence = id.Fence(c.Version)
		}
		l.putTarget(t, c.Version)
	}
	return Answer{}
}

// TargetReport is what an agent reported about its target.
type TargetReport struct {
	TargetSession
	Phase     view.Phase
	Installed view.Assignment
	Start     string
	Reason    string
}

// ReportTargets records reports that differ from what is known.
type ReportTargets struct {
	Reports []TargetReport
}

// Apply records the reports of present sessions.
func (r *ReportTargets) Apply(l *Ledger, c Context) Answer {
	for _, p := range r.Reports {
		t, ok := l.view.Targets[p.Target]
		if !ok || t.Session != p.Session {
			continue
		}
		t.Phase = p.Phase
		t.Installed = p.Installed
		t.Start = p.Start
		t.Reason = p.Reason
		l.putTarget(t, c.Version)
	}
	return Answer{}
}
