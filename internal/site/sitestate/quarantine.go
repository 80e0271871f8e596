package sitestate

import (
	"maps"
	"slices"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/evidence"
	"egretproxy/internal/site/quarantine"
)

// maxVerdicts limits the verdicts on parts of prompts, and maxRequestVerdicts those on
// single requests. A further one replaces the oldest of its kind, so that requests
// that come in numbers can't push out the verdicts on parts.
const maxVerdicts, maxRequestVerdicts = 64, 64

// maxCleared limits the parts and requests of which the state knows when a verdict on
// them ended. They matter for as long as a keeper tries to propose a change.
const maxCleared = 256

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
	// After is the position of the state by which a verdict was found or a test is due.
	// Neither has an effect if a part of it was cleared since. It is nil in logs of
	// versions that did not store it.
	After *uint64 `cbor:",omitempty"`
	// ChangedMs is the wall clock time in Unix milliseconds.
	ChangedMs int64
}

// applyQuarantine reports whether the change had an effect. It replaces the
// slice, since copies of the state share it.
func (s *State) applyQuarantine(index uint64, c QuarantineChange) bool {
	switch {
	case c.Verdict != nil:
		return !s.wasCleared(c.Verdict.Parts, c.After) && s.addVerdict(*c.Verdict)
	case c.Harmless != "":
		return s.recordCleared(index, c.Harmless, s.removePart(c.Harmless))
	case c.Lift != "":
		return s.recordCleared(index, c.Lift, s.lift(c.Lift))
	case c.Test != nil:
		i := quarantine.Index(s.Quarantine, c.Test.Key)
		return i >= 0 && !s.wasCleared(s.Quarantine[i].Parts, c.After) && s.grantTest(*c.Test, c.ChangedMs)
	}
	return false
}

// recordCleared records the position at which a verdict on a part or a request ended, if
// one did, and returns ended. It replaces the map, since copies of the state share it.
func (s *State) recordCleared(index uint64, p id.PromptPart, ended bool) bool {
	if !ended {
		return false
	}
	cleared := maps.Clone(s.ClearedIndex)
	if cleared == nil {
		cleared = map[id.PromptPart]uint64{}
	}
	cleared[p] = index
	if len(cleared) > maxCleared {
		oldest := p
		for q, at := range cleared {
			if at < cleared[oldest] {
				oldest = q
			}
		}
		delete(cleared, oldest)
	}
	s.ClearedIndex = cleared
	return true
}

// wasCleared reports whether a verdict on one of the parts has ended after a position.
func (s *State) wasCleared(parts []id.PromptPart, after *uint64) bool {
	return after != nil && slices.ContainsFunc(parts, func(p id.PromptPart) bool { return s.ClearedIndex[p] > *after })
}

func (s *State) addVerdict(v quarantine.Verdict) bool {
	if len(v.Parts) == 0 || slices.ContainsFunc(s.Quarantine, func(old quarantine.Verdict) bool { return old.Matches(v.Parts) }) {
		return false
	}
	out := slices.DeleteFunc(slices.Clone(s.Quarantine), func(old quarantine.Verdict) bool { return v.Matches(old.Parts) })
	out = dropExpired(out, v.ChangedMs)
	limit := maxVerdicts
	if v.OnRequest() {
		limit = maxRequestVerdicts
	}
	sameKind := func(old quarantine.Verdict) bool { return old.OnRequest() == v.OnRequest() }
	n := 0
	for _, old := range out {
		if sameKind(old) {
			n++
		}
	}
	for ; n >= limit; n-- {
		i := slices.IndexFunc(out, sameKind)
		out = slices.Delete(out, i, i+1)
	}
	s.Quarantine = append(out, v)
	return true
}

// dropExpired drops the verdicts on requests that have long not been tested: the
// request would have been the test if it had come. It may change the slice.
func dropExpired(verdicts []quarantine.Verdict, nowMs int64) []quarantine.Verdict {
	return slices.DeleteFunc(verdicts, func(v quarantine.Verdict) bool {
		return v.OnRequest() && nowMs-v.ChangedMs > quarantine.RequestLifetime.Milliseconds()
	})
}

// lift removes the verdicts that contain a part and reports whether there were any.
func (s *State) lift(p id.PromptPart) bool {
	n := len(s.Quarantine)
	s.Quarantine = slices.DeleteFunc(slices.Clone(s.Quarantine), func(v quarantine.Verdict) bool {
		return slices.Contains(v.Parts, p)
	})
	return len(s.Quarantine) < n
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
