package ledger

import (
	"egretproxy/internal/control/lifecycle"
	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
)

func init() {
	register("CreateBundle", func() Change { return &CreateBundle{} })
	register("ApproveBundle", func() Change { return &ApproveBundle{} })
	register("RollBundle", func() Change { return &RollBundle{} })
	register("SupersedeBundle", func() Change { return &SupersedeBundle{} })
	register("HaltRollout", func() Change { return &HaltRollout{} })
	register("CompleteRollout", func() Change { return &CompleteRollout{} })
}

// CreateBundle adds an immutable bundle in the draft state.
type CreateBundle struct {
	Bundle id.Bundle
	Models []view.ModelSpec
}

// Apply adds the bundle.
func (b *CreateBundle) Apply(l *Ledger, c Context) Answer {
	if b.Bundle == "" || len(b.Models) == 0 {
		return refuse(CodeInvalid, "a bundle needs a name and at least one model")
	}
	if old, ok := l.view.Bundles[b.Bundle]; ok {
		a := refuse(CodeExists, "bundle "+string(b.Bundle)+" exists and is immutable")
		a.Winner = &old.Author
		return a
	}
	seen := map[id.Model]bool{}
	for _, m := range b.Models {
		if m.Name == "" || m.Manifest == "" || m.Replicas < 0 || seen[m.Name] {
			return refuse(CodeInvalid, "each model needs a name of its own, a manifest and no negative replicas")
		}
		seen[m.Name] = true
	}
	l.view.Bundles[b.Bundle] = view.Bundle{
		ID: b.Bundle, Models: b.Models, State: view.BundleDraft,
		Author: c.author("create"), Changed: c.Version,
	}
	return Answer{}
}

// ApproveBundle signs a bundle off.
type ApproveBundle struct {
	Bundle id.Bundle
	// Base is the version of the bundle's newest change that the operator
	// saw.
	Base id.Version
}

// Apply approves the bundle.
func (a *ApproveBundle) Apply(l *Ledger, c Context) Answer {
	b, ok := l.view.Bundles[a.Bundle]
	if !ok {
		return refuse(CodeUnknown, "there is no bundle "+string(a.Bundle))
	}
	if a.Base != b.Author.Version {
		return conflict(a.Base, b.Author)
	}
	if answer := l.transitionBundle(&b, lifecycle.Approve); answer.Code != CodeDone {
		return answer
	}
	b.Author = c.author("approve")
	b.Changed = c.Version
	l.view.Bundles[b.ID] = b
	return Answer{}
}

// RollBundle starts a rollout.
type RollBundle struct {
	Bundle id.Bundle
	// Base is the version of the rollout's newest change that the operator
	// saw.
	Base id.Version
}

// Apply starts the rollout unless another is in progress.
func (r *RollBundle) Apply(l *Ledger, c Context) Answer {
	b, ok := l.view.Bundles[r.Bundle]
	if !ok {
		return refuse(CodeUnknown, "there is no bundle "+string(r.Bundle))
	}
	if r.Base != l.view.Rollout.Author.Version {
		return conflict(r.Base, l.view.Rollout.Author)
	}
	if next := l.view.Rollout.Next; next != "" {
		a := refuse(CodeNotAllowed, "bundle "+string(next)+" is rolling; supersede it instead")
		a.Winner = &l.view.Rollout.Author
		return a
	}
	if answer := l.transitionBundle(&b, lifecycle.Roll); answer.Code != CodeDone {
		return answer
	}
	l.startRollout(b, c, "roll "+string(b.ID))
	return Answer{}
}

// SupersedeBundle ends what a bundle is doing at once and rolls another.
type SupersedeBundle struct {
	Old  id.Bundle
	New  id.Bundle
	Base id.Version
}

// Apply replaces the old bundle by the new one.
func (s *SupersedeBundle) Apply(l *Ledger, c Context) Answer {
	ro := l.view.Rollout
	if s.Base != ro.Author.Version {
		return conflict(s.Base, ro.Author)
	}
	if s.Old == s.New || s.Old != ro.Next && (s.Old != ro.Current || ro.Next != "") {
		return refuse(CodeNotAllowed, "bundle "+string(s.Old)+" is not the newest that is rolling or in force")
	}
	b, ok := l.view.Bundles[s.New]
	if !ok {
		return refuse(CodeUnknown, "there is no bundle "+string(s.New))
	}
	if s.New == ro.Current {
		return l.revert(s, c)
	}
	if answer := l.transitionBundle(&b, lifecycle.Roll); answer.Code != CodeDone {
		return answer
	}
	if s.Old == ro.Next {
		l.supersede(s.Old, c)
	}
	l.startRollout(b, c, "supersede "+string(s.Old)+" by "+string(s.New))
	return Answer{}
}

// revert gives up a rollout and returns to the bundle in force. Targets that
// were switched already are ordered back.
func (l *Ledger) revert(s *SupersedeBundle, c Context) Answer {
	l.supersede(s.Old, c)
	l.view.Rollout = view.Rollout{
		Current: s.New, Author: c.author("supersede " + string(s.Old) + " by " + string(s.New)),
		Changed: c.Version,
	}
	return Answer{}
}

// HaltRollout stops a rollout after failures.
type HaltRollout struct {
	Bundle id.Bundle
	Reason string
}

// Apply halts the rollout if it is still of that bundle.
func (h *HaltRollout) Apply(l *Ledger, c Context) Answer {
	ro := &l.view.Rollout
	if ro.Next != h.Bundle || ro.Halted {
		return refuse(CodeNotAllowed, "bundle "+string(h.Bundle)+" is not rolling")
	}
	b := l.view.Bundles[h.Bundle]
	if answer := l.transitionBundle(&b, lifecycle.Halt); answer.Code != CodeDone {
		return answer
	}
	b.Reason = h.Reason
	b.Changed = c.Version
	l.view.Bundles[b.ID] = b
	ro.Halted = true
	ro.Reason = h.Reason
	ro.Author = c.author("halt " + string(h.Bundle))
	ro.Changed = c.Version
	return Answer{}
}

// CompleteRollout puts a bundle in force once every target serves it.
type CompleteRollout struct {
	Bundle id.Bundle
}

// Apply completes the rollout if it is still of that bundle.
func (r *CompleteRollout) Apply(l *Ledger, c Context) Answer {
	ro := &l.view.Rollout
	if ro.Next != r.Bundle || ro.Halted {
		return refuse(CodeNotAllowed, "bundle "+string(r.Bundle)+" is not rolling")
	}
	b := l.view.Bundles[r.Bundle]
	if answer := l.transitionBundle(&b, lifecycle.Complete); answer.Code != CodeDone {
		return answer
	}
	b.Changed = c.Version
	l.view.Bundles[b.ID] = b
	if ro.Current != "" {
		l.supersede(ro.Current, c)
	}
	ro.Current = r.Bundle
	ro.Next = ""
	ro.Changed = c.Version
	return Answer{}
}

func (l *Ledger) startRollout(b view.Bundle, c Context, what string) {
	b.Reason = ""
	b.Changed = c.Version
	l.view.Bundles[b.ID] = b
	l.view.Rollout = view.Rollout{
		Current: l.view.Rollout.Current, Next: b.ID,
		Author: c.author(what), Changed: c.Version,
	}
}

func (l *Ledger) supersede(k id.Bundle, c Context) {
	b := l.view.Bundles[k]
	if answer := l.transitionBundle(&b, lifecycle.Supersede); answer.Code != CodeDone {
		return
	}
	b.Changed = c.Version
	l.view.Bundles[k] = b
}

func (l *Ledger) transitionBundle(b *view.Bundle, t lifecycle.Trigger) Answer {
	next, err := lifecycle.Bundle(b.State, t)
	if err != nil {
		return refuse(CodeNotAllowed, "bundle "+string(b.ID)+": "+err.Error())
	}
	b.State = next
	return Answer{}
}
