// Package suspicion finds the parts of prompts that end engines from what all
// entries report.
//
// When an engine ends, every request at it whose response had not begun is a
// suspect, and so is each part of their prompts. Engines also end for other
// reasons. What tells a guilty part is that engines end with it again and again
// while no response ever begins on it.
package suspicion

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/evidence"
	"egretproxy/internal/site/quarantine"
)

const (
	// suspectMoments is the number of moments at which engines ended from which
	// a part is a suspect, so that entries report responses that began on it.
	suspectMoments = 2
	// quickMoments convict a part on which no response was seen before, if
	// engines ended with it at quickShare of the moments since the first one.
	// Ends without it speak for another cause. enoughMoments convict any part.
	quickMoments  = 3
	quickShare    = 0.5
	enoughMoments = 5
	// momentLength is the time in which engines that end count once: the loss of
	// a failure domain, or of the links of an entry, ends many exchanges at once.
	momentLength = 50 * time.Millisecond
	// objectionTime is how long a part must be a suspect before a verdict, so
	// that entries can report responses that began on it.
	objectionTime = 250 * time.Millisecond
	// retention is how long an end counts. Parts may be requested rarely.
	retention = 30 * time.Minute
	// maxEnds, maxPartsPerEnd and maxSuspects limit memory and messages.
	maxEnds        = 512
	maxPartsPerEnd = 256
	maxSuspects    = 64
)

// Judge collects reports. It is safe for concurrent use. The zero value holds
// none.
type Judge struct {
	mu sync.Mutex
	// ends is sorted by time.
	ends []*end
	// moments numbers the moments; momentAt is the start of the last one.
	moments  int
	momentAt time.Time
	begun    map[id.PromptPart]time.Time
	known    map[id.PromptPart]bool
	// suspects holds the time since which each part is a suspect.
	suspects map[id.PromptPart]time.Time
	// accused holds the parts of the verdicts in force at the last look.
	accused  map[id.PromptPart]bool
	position uint64
	changed  chan struct{}
}

// end is the end of one incarnation of a target.
type end struct {
	target id.Target
	born   int64
	at     time.Time
	moment int
	parts  map[id.PromptPart]bool
}

// Suspicion is what counts against one part.
type Suspicion struct {
	Part id.PromptPart
	// Moments is the number of moments at which engines ended with the part, Of
	// that at which engines ended since the first of them. Ends that verdicts on
	// other parts explain do not count.
	Moments, Of int
	// Ends is the number of these engines, Since the time of the first end.
	Ends  int
	Since time.Time

	// members identifies the ends. first is the moment of the first one.
	members string
	first   int
}

// Add records a report.
func (j *Judge) Add(r evidence.Report, inForce []quarantine.Verdict) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	j.init()
	for _, e := range r.Ends {
		j.addEnd(now, e)
	}
	for _, b := range r.Begun {
		at := now.Add(-time.Duration(max(b.AgeMs, 0)) * time.Millisecond)
		if at.After(j.begun[b.Part]) {
			j.begun[b.Part] = at
		}
	}
	j.forget(now)
	j.updateSuspects(now, inForce)
}

// init makes the maps. The caller holds mu.
func (j *Judge) init() {
	if j.begun == nil {
		j.begun, j.known, j.suspects = map[id.PromptPart]time.Time{}, map[id.PromptPart]bool{}, map[id.PromptPart]time.Time{}
	}
}

// acquit lets the ends so far no longer count against parts that are in no verdict
// any more: a response began on them, or an operator lifted the verdict. The
// caller holds mu.
func (j *Judge) acquit(now time.Time, inForce []quarantine.Verdict) {
	accused := map[id.PromptPart]bool{}
	for _, v := range inForce {
		for _, p := range v.Parts {
			accused[p] = true
		}
	}
	for p := range j.accused {
		if !accused[p] {
			j.begun[p] = now
		}
	}
	j.accused = accused
}

func (j *Judge) addEnd(now time.Time, in evidence.End) {
	var e *end
	for _, known := range j.ends {
		if known.target == in.Target && known.born == in.Born {
			e = known
		}
	}
	if e == nil {
		if now.Sub(j.momentAt) >= momentLength {
			j.moments++
			j.momentAt = now
		}
		e = &end{target: in.Target, born: in.Born, at: now, moment: j.moments, parts: map[id.PromptPart]bool{}}
		j.ends = append(j.ends, e)
	}
	for _, p := range in.Known {
		j.known[p] = true
	}
	for _, p := range slices.Concat(in.Fresh, in.Known) {
		if len(e.parts) < maxPartsPerEnd {
			e.parts[p] = true
		}
	}
}

// forget drops ends that are too old or too many, and the parts that only they
// had. The caller holds mu.
func (j *Judge) forget(now time.Time) {
	n := max(len(j.ends)-maxEnds, 0)
	for n < len(j.ends) && now.Sub(j.ends[n].at) > retention {
		n++
	}
	j.ends = slices.Delete(j.ends, 0, n)
	held := map[id.PromptPart]bool{}
	for _, e := range j.ends {
		for p := range e.parts {
			held[p] = true
		}
	}
	absent := func(p id.PromptPart) bool { return !held[p] }
	maps.DeleteFunc(j.begun, func(p id.PromptPart, _ time.Time) bool { return absent(p) })
	maps.DeleteFunc(j.known, func(p id.PromptPart, _ bool) bool { return absent(p) })
}

// suspicions returns what counts against each part. Ends that a verdict on other
// parts explains do not count. The caller holds mu.
func (j *Judge) suspicions(inForce []quarantine.Verdict) map[id.PromptPart]*Suspicion {
	out := map[id.PromptPart]*Suspicion{}
	last := map[id.PromptPart]int{}
	var unexplained []int
	for i, e := range j.ends {
		explaining := explanations(e, inForce)
		if n := len(unexplained); len(explaining) == 0 && (n == 0 || unexplained[n-1] != e.moment) {
			unexplained = append(unexplained, e.moment)
		}
		for p := range e.parts {
			if !e.at.After(j.begun[p]) || explainedByOthers(p, explaining) {
				continue
			}
			s := out[p]
			if s == nil {
				s = &Suspicion{Part: p, Since: e.at, first: e.moment}
				out[p] = s
			}
			s.Ends++
			s.members = string(binary.AppendUvarint([]byte(s.members), uint64(i)))
			if last[p] != e.moment {
				last[p] = e.moment
				s.Moments++
			}
		}
	}
	for _, s := range out {
		from, _ := slices.BinarySearch(unexplained, s.first)
		s.Of = max(len(unexplained)-from, s.Moments)
	}
	return out
}

// explanations returns the verdicts that explain an end.
func explanations(e *end, inForce []quarantine.Verdict) []quarantine.Verdict {
	var out []quarantine.Verdict
	for _, v := range inForce {
		if !slices.ContainsFunc(v.Parts, func(p id.PromptPart) bool { return !e.parts[p] }) {
			out = append(out, v)
		}
	}
	return out
}

// explainedByOthers reports whether one of the verdicts does not concern p.
func explainedByOthers(p id.PromptPart, explaining []quarantine.Verdict) bool {
	return slices.ContainsFunc(explaining, func(v quarantine.Verdict) bool { return !slices.Contains(v.Parts, p) })
}

// updateSuspects finds the suspects and wakes waiters if there are others than
// before. The caller holds mu.
func (j *Judge) updateSuspects(now time.Time, inForce []quarantine.Verdict) {
	found := j.suspicions(inForce)
	changed := false
	for p := range j.suspects {
		if s := found[p]; s == nil || s.Moments < suspectMoments {
			delete(j.suspects, p)
			changed = true
		}
	}
	for p, s := range found {
		if _, known := j.suspects[p]; !known && s.Moments >= suspectMoments {
			j.suspects[p] = now
			changed = true
		}
	}
	if !changed {
		return
	}
	klog.InfoS("Parts of prompts that are suspected to end targets have changed", "Suspects", len(j.suspects), "Ends", len(j.ends))
	j.position++
	if j.changed != nil {
		close(j.changed)
		j.changed = nil
	}
}

// Suspects returns the parts that are suspects, those with most ends first, and
// the position of this answer.
func (j *Judge) Suspects(inForce []quarantine.Verdict) ([]evidence.Suspect, uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []evidence.Suspect
	for _, s := range j.sorted(inForce) {
		if _, ok := j.suspects[s.Part]; ok && len(out) < maxSuspects {
			out = append(out, evidence.Suspect{Part: s.Part, AgeMs: time.Since(s.Since).Milliseconds()})
		}
	}
	return out, j.position
}

// Position returns the position of the suspects.
func (j *Judge) Position() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.position
}

// Changed returns a channel that is closed when the suspects change.
func (j *Judge) Changed() <-chan struct{} {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.changed == nil {
		j.changed = make(chan struct{})
	}
	return j.changed
}

// sorted returns the suspicions, the gravest first. The caller holds mu.
func (j *Judge) sorted(inForce []quarantine.Verdict) []*Suspicion {
	out := slices.Collect(maps.Values(j.suspicions(inForce)))
	slices.SortFunc(out, func(a, b *Suspicion) int {
		return cmp.Or(cmp.Compare(b.Moments, a.Moments), cmp.Compare(b.Ends, a.Ends), cmp.Compare(a.Part, b.Part))
	})
	return out
}

// Verdict returns the verdict that is due beside those in force, if any, and
// otherwise whether one may become due without further reports. Parts that came
// together each time are convicted together.
func (j *Judge) Verdict(inForce []quarantine.Verdict) (due *quarantine.Verdict, pending bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	j.init()
	j.acquit(now, inForce)
	j.updateSuspects(now, inForce)
	all := j.sorted(inForce)
	for _, s := range all {
		if !j.convicts(s) {
			continue
		}
		v := quarantine.Verdict{Ends: s.Ends, ChangedMs: now.UnixMilli()}
		for _, other := range all {
			if other.members == s.members && j.convicts(other) {
				v.Parts = append(v.Parts, other.Part)
			}
		}
		slices.Sort(v.Parts)
		if slices.ContainsFunc(inForce, func(old quarantine.Verdict) bool { return old.Matches(v.Parts) }) {
			continue
		}
		if now.Sub(j.suspects[s.Part]) < objectionTime {
			pending = true
			continue
		}
		return &v, true
	}
	return nil, pending
}

// convicts reports whether a suspicion suffices for a verdict. The caller holds
// mu.
func (j *Judge) convicts(s *Suspicion) bool {
	if _, suspect := j.suspects[s.Part]; !suspect {
		return false
	}
	quick := !j.known[s.Part] && float64(s.Moments) >= quickShare*float64(s.Of)
	return s.Moments >= enoughMoments || quick && s.Moments >= quickMoments
}
