package sitestate

import (
	"slices"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/evidence"
	"egretproxy/internal/site/quarantine"
)

// maxVerdicts limits the verdicts. A further one replaces the oldest.
const maxVerdicts = 64

// QuarantineChange changes the verdicts. Exactly one of its fields is set.
type QuarantineChange struct {
	// Verdict is added, unless one that shuts out as much is in force.
	Verdict *quarantine.Verdict `cbor:",omitempty"`
	// Harmless is removed from all verdicts.
	Harmless id.PromptPart `cbor:",omitempty"`
	// Lift removes all verdicts that contain it.
	Lift id.PromptPart `cbor:",omitempty"`
	// Test is granted if its number is the next one.
	Test *evidence.Test `cbor:",omitempty"`
	// ChangedMs is the wall clock time in Unix milliseconds.
	ChangedMs int64
}

// applyQuarantine reports whether the change had an effect. It replaces the
// slice, since copies of the state share it.
func (s *State) applyQuarantine(c QuarantineChange) bool {
	switch {
	case c.Verdict != nil:
		return s.addVerdict(*c.Verdict)
	case c.Harmless != "":
		return s.removePart(c.Harmless)
	case c.Lift != "":
		n := len(s.Quarantine)
		s.Quarantine = slices.DeleteFunc(slices.Clone(s.Quarantine), func(v quarantine.Verdict) bool {
			return slices.Contains(v.Parts, c.Lift)
		})
		return len(s.Quarantine) < n
	case c.Test != nil:
		return s.grantTest(*c.Test, c.ChangedMs)
	}
	return false
}

func (s *State) addVerdict(v quarantine.Verdict) bool {
	if len(v.Parts) == 0 || slices.ContainsFunc(s.Quarantine, func(old quarantine.Verdict) bool { return old.Matches(v.Parts) }) {
		return false
	}
	out := slices.DeleteFunc(slices.Clone(s.Quarantine), func(old quarantine.Verdict) bool { return v.Matches(old.Parts) })
	out = append(out, v)
	s.Quarantine = out[max(0, len(out)-maxVerdicts):]
	return true
}

func (s *State) removePart(p id.PromptPart) bool {
	var out []quarantine.Verdict
	changed := false
	for _, v := range s.Quarantine {
		if slices.Contains(v.Parts, p) {
			changed = true
			v = v.Without(p)
		}
		if len(v.Parts) > 0 {
			out = append(out, v)
		}
	}
	s.Quarantine = out
	return changed
}

func (s *State) grantTest(t evidence.Test, changedMs int64) bool {
	i := quarantine.Index(s.Quarantine, t.Key)
	if i < 0 || t.Number != s.Quarantine[i].Tests+1 {
		return false
	}
	s.Quarantine = slices.Clone(s.Quarantine)
	v := &s.Quarantine[i]
	v.Tests, v.Holder, v.ChangedMs = t.Number, t.Holder, changedMs
	return true
}
