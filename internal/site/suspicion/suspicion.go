// Package suspicion finds the parts of prompts, and the requests, that end engines from
// what all entries report.
//
// When an engine ends, every request at it whose response had not begun is a
// suspect, and so is each part of their prompts. Engines also end for other
// reasons. What tells a guilty part is that engines end with it again and again
// while no response ever begins on it, or while those that begin on it end with their
// engines. What tells a guilty request that comes again is
// that engines end under it while no response to it comes to its end.
package suspicion

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/wakeup"
	"egretproxy/internal/request/digest"
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
	// netMoments, the moments with a part less those without, convict a part on which
	// responses began, and none went on, for responseTime. While engines end one
	// after the other, few responses to any request go on.
	netMoments   = 6
	responseTime = 2 * time.Second
	// objectionTime is how long a part must be a suspect before a verdict, so
	// that entries can report responses that began on it.
	objectionTime = 250 * time.Millisecond
	// maxEnds, maxPartsPerEnd and maxSuspects limit memory and messages.
	maxEnds        = 512
	maxPartsPerEnd = 256
	maxSuspects    = 64
	// logInterval is the least time between two lines about changed suspects.
	logInterval = time.Second
)

// Judge collects reports. It is safe for concurrent use. The zero value holds
// none.
type Judge struct {
	mu sync.Mutex
	// ends is sorted as by compareEnds.
	ends []*end
	// parts holds what is known of each part of the ends.
	parts map[id.PromptPart]*part
	// added is the number of ends so far.
	added int
	// early holds the responses on parts of which no end is known.
	early map[id.PromptPart]early
	// alive holds when incarnations lived that an entry had reported to have ended.
	alive map[incarnation]alive
	// suspects holds the time since which each part or request is a suspect,
	// announced those of which entries are told, requests first, the gravest first.
	suspects  map[id.PromptPart]time.Time
	announced []*suspicion
	// accused holds the parts of the verdicts in force at the last look.
	accused  map[id.PromptPart]bool
	position uint64
	// changed is sent when the suspects change, reported at each report.
	changed, reported wakeup.Signal
	loggedAt          time.Time
}

// part is what is known of one part, or of one request.
type part struct {
	// ends is sorted as by compareEnds and never empty.
	ends []*end
	responses
	// known is set if a response was seen to begin on the part before an end.
	known bool
}

// presence is what a target was doing for the requests with a part when it ended.
type presence uint8

const (
	absent presence = iota
	// duringResponse means that a response had begun, and had not shown yet that the
	// part ends no target.
	duringResponse
	// beforeResponse means that a response had not begun.
	beforeResponse
)

// end is the end of one incarnation of a target.
type end struct {
	target id.Target
	born   int64
	// at is by the clock of the entry that first reported it, last by that of the
	// latest one. moment numbers the moments in order of time.
	at, last time.Time
	moment   int
	parts    map[id.PromptPart]presence
	// number tells ends apart.
	number int
	// explained holds the verdicts on parts that explain the end, cause the request
	// that does, at the last look.
	explained []quarantine.Verdict
	cause     id.PromptPart
}

// suspicion is what counts against one part.
type suspicion struct {
	part id.PromptPart
	// moments is the number of moments at which engines ended with the part, of
	// that at which engines ended since the first of them. Ends that verdicts on
	// other parts explain do not count, those that a request explains count once.
	moments, of int
	// ends is the number of these engines, since the time of the first end.
	ends  int
	since time.Time

	// members identifies the ends. first is the moment of the first one.
	members []byte
	first   int
	known   bool
	// present are the moments at which engines ended with the part, whatever explains
	// them.
	present []int
}

// Reported returns a channel that is closed at the next report.
func (j *Judge) Reported() <-chan struct{} {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.reported.Next()
}

// acquit lets the ends so far no longer count against parts that are in no verdict
// any more: a response began on them, or an operator lifted the verdict. The
// caller holds mu.
func (j *Judge) acquit(now time.Time, inForce []quarantine.Verdict) {
	accused := quarantine.Parts(inForce)
	for k := range j.accused {
		if p := j.parts[k]; p != nil && !accused[k] {
			p.add(now, true)
		}
	}
	j.accused = accused
}

// suspicions returns what counts against each request and each part with which targets
// ended at several moments, requests first, and the gravest first. The caller holds mu.
func (j *Judge) suspicions(inForce []quarantine.Verdict) []*suspicion {
	for _, e := range j.ends {
		e.explain(inForce)
	}
	requests, repeated := j.repeated()
	out := j.suspectRequests(inForce, requests)
	moments, unexplained := j.unexplained()
	var parts []*suspicion
	for _, k := range repeated {
		if s := j.parts[k].suspicion(k, moments, unexplained); s.moments >= suspectMoments {
			parts = append(parts, s)
		}
	}
	slices.SortFunc(parts, byGravity)
	return append(out, parts...)
}

// repeated returns the requests and the parts with which several targets ended. The
// caller holds mu.
func (j *Judge) repeated() (requests, parts []id.PromptPart) {
	for k, p := range j.parts {
		switch {
		case len(p.ends) < suspectMoments:
		case digest.IsDigest(k):
			requests = append(requests, k)
		default:
			parts = append(parts, k)
		}
	}
	return requests, parts
}

// byGravity sorts the gravest first, and those with the same ends together.
func byGravity(a, b *suspicion) int {
	return cmp.Or(cmp.Compare(b.moments, a.moments), cmp.Compare(b.ends, a.ends), bytes.Compare(a.members, b.members), cmp.Compare(a.part, b.part))
}

// unexplained returns the moments of the ends that no verdict on parts explains, and those
// of them that are left if the ends which one request explains count once. The caller
// holds mu.
func (j *Judge) unexplained() (all, once []int) {
	seen := map[id.PromptPart]bool{}
	for _, e := range j.ends {
		if len(e.explained) > 0 {
			continue
		}
		all = appendMoment(all, e.moment)
		if seen[e.cause] {
			continue
		}
		if e.cause != "" {
			seen[e.cause] = true
		}
		once = appendMoment(once, e.moment)
	}
	return all, once
}

// appendMoment appends a moment unless it is the last one.
func appendMoment(moments []int, m int) []int {
	if n := len(moments); n > 0 && moments[n-1] == m {
		return moments
	}
	return append(moments, m)
}

// since returns the number of moments from the first one on.
func since(moments []int, first int) int {
	from, _ := slices.BinarySearch(moments, first)
	return len(moments) - from
}

// suspicion returns what counts against the part: the ends before a response, which one
// that began clears, or those during a response as well, which only one that showed the
// part to be harmless clears: an engine may send some events before it ends. Any request
// that runs is at such an end, so that each end without the part takes one off, and a
// harmless part has had the time to show it.
func (p *part) suspicion(k id.PromptPart, moments, unexplained []int) *suspicion {
	s := p.count(k, beforeResponse, p.begunAt)
	s.of = max(since(unexplained, s.first), s.moments)
	if s.convicts() {
		return s
	}
	all := p.count(k, duringResponse, p.harmlessAt)
	all.of = max(since(unexplained, all.first), all.moments)
	without := since(moments, all.first) - len(all.present)
	if all.moments-without >= netMoments && time.Since(all.since) >= responseTime {
		return all
	}
	return s
}

// count returns what counts against the part, or the request, of the ends after a time
// at which it was there. A part is to blame only if several requests end engines with it,
// so that the ends which one request explains count once.
func (p *part) count(k id.PromptPart, least presence, after time.Time) *suspicion {
	s := &suspicion{part: k, known: p.known}
	last := -1
	seen := map[id.PromptPart]bool{}
	for _, e := range p.ends {
		if e.parts[k] < least || !e.at.After(after) || explainedByOthers(k, e.explained) {
			continue
		}
		s.present = appendMoment(s.present, e.moment)
		if e.cause != "" && e.cause != k {
			if seen[e.cause] || digest.IsDigest(k) {
				continue
			}
			seen[e.cause] = true
		}
		if s.ends++; s.ends == 1 {
			s.since, s.first = e.at, e.moment
		}
		s.members = binary.AppendUvarint(s.members, uint64(e.number))
		if last != e.moment {
			last = e.moment
			s.moments++
		}
	}
	return s
}

// explain finds the verdicts that explain the end.
func (e *end) explain(inForce []quarantine.Verdict) {
	e.explained, e.cause = nil, ""
	for _, v := range inForce {
		switch {
		case slices.ContainsFunc(v.Parts, func(p id.PromptPart) bool { return e.parts[p] == absent }):
		case v.OnRequest():
			e.cause = v.Parts[0]
		default:
			e.explained = append(e.explained, v)
		}
	}
}

// explainedByOthers reports whether one of the verdicts does not concern p.
func explainedByOthers(p id.PromptPart, explaining []quarantine.Verdict) bool {
	return slices.ContainsFunc(explaining, func(v quarantine.Verdict) bool { return !slices.Contains(v.Parts, p) })
}

// Verdict returns the verdict that is due beside those in force, if any, and
// otherwise whether one may become due without further reports. Parts that came
// together each time are convicted together, requests alone.
func (j *Judge) Verdict(inForce []quarantine.Verdict) (due *quarantine.Verdict, pending bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	j.acquit(now, inForce)
	all := j.suspicions(inForce)
	j.updateSuspects(now, all)
	for _, s := range all {
		if !s.convicts() {
			continue
		}
		v := quarantine.Verdict{Ends: s.ends, ChangedMs: now.UnixMilli()}
		for _, other := range s.candidates(all) {
			if bytes.Equal(other.members, s.members) && other.convicts() {
				v.Parts = append(v.Parts, other.part)
			}
		}
		slices.Sort(v.Parts)
		if slices.ContainsFunc(inForce, func(old quarantine.Verdict) bool { return old.Matches(v.Parts) }) {
			continue
		}
		if now.Sub(j.suspects[s.part]) < objectionTime {
			pending = true
			continue
		}
		return &v, true
	}
	return nil, pending
}

// convicts reports whether the suspicion suffices for a verdict.
func (s *suspicion) convicts() bool {
	if digest.IsDigest(s.part) {
		return s.moments >= servedMoments || !s.known && s.moments >= requestMoments
	}
	quick := !s.known && float64(s.moments) >= quickShare*float64(s.of)
	return s.moments >= enoughMoments || quick && s.moments >= quickMoments
}
