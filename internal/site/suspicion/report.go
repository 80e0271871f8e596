package suspicion

import (
	"cmp"
	"slices"
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/request/ends"
	"egretproxy/internal/site/evidence"
)

const (
	// earlyTime is how long a response on a part counts of which no end is known, and
	// maxEarly limits these parts. Another entry may report an older end later.
	earlyTime = 5 * time.Second
	maxEarly  = 1024
)

// early holds the responses on a part of which no end is known.
type early struct {
	responses
	reportedAt time.Time
}

// responses holds when a response last began on a part, and when one last showed that the
// part ends no target. To a request, both are when a response came to its end.
type responses struct{ begunAt, harmlessAt time.Time }

func (r *responses) add(at time.Time, harmless bool) {
	if at.After(r.begunAt) {
		r.begunAt = at
	}
	if harmless && at.After(r.harmlessAt) {
		r.harmlessAt = at
	}
}

// Add records a report.
func (j *Judge) Add(r evidence.Report) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	for _, a := range r.Alive {
		j.addAlive(now, a)
	}
	for _, e := range r.Ends {
		j.addEnd(timeOf(now, e.AgeMs), e)
	}
	for _, b := range r.Begun {
		j.addBegun(now, b)
	}
	j.forget(now)
	j.reported.Send()
}

// timeOf returns the time of what an entry reports with an age. What is older than
// ends.Retention counts for nothing.
func timeOf(now time.Time, ageMs int64) time.Time {
	return now.Add(-time.Duration(min(max(ageMs, 0), 2*ends.Retention.Milliseconds())) * time.Millisecond)
}

// addBegun requires mu.
func (j *Judge) addBegun(now time.Time, in evidence.Begun) {
	at := timeOf(now, in.AgeMs)
	if p := j.parts[in.Part]; p != nil {
		p.add(at, in.Clears())
		return
	}
	for old, e := range j.early {
		if now.Sub(e.reportedAt) > earlyTime {
			delete(j.early, old)
		}
	}
	e, known := j.early[in.Part]
	if !known && len(j.early) >= maxEarly {
		return
	}
	if j.early == nil {
		j.early = map[id.PromptPart]early{}
	}
	e.add(at, in.Clears())
	e.reportedAt = now
	j.early[in.Part] = e
}

// addEnd requires mu.
func (j *Judge) addEnd(at time.Time, in evidence.End) {
	if !at.After(j.alive[incarnation{in.Target, in.Born}].at) {
		return
	}
	i := slices.IndexFunc(j.ends, func(e *end) bool { return e.target == in.Target && e.born == in.Born })
	if i >= 0 && at.After(j.ends[i].last) {
		j.ends[i].last = at
	}
	if i < 0 {
		e := &end{target: in.Target, born: in.Born, at: at, last: at, number: j.added, parts: map[id.PromptPart]presence{}}
		j.added++
		i, _ = slices.BinarySearchFunc(j.ends, e, compareEnds)
		j.ends = slices.Insert(j.ends, i, e)
		j.numberMoments()
	}
	for _, k := range in.Fresh {
		j.addPart(j.ends[i], k, beforeResponse)
	}
	for _, k := range in.Known {
		if p := j.addPart(j.ends[i], k, beforeResponse); p != nil {
			p.known = true
		}
	}
	for _, k := range in.Begun {
		j.addPart(j.ends[i], k, duringResponse)
	}
	for _, k := range in.Requests {
		if p := j.addPart(j.ends[i], k, beforeResponse); p != nil && slices.Contains(in.Served, k) {
			p.known = true
		}
	}
}

// compareEnds orders ends by time. Those of the same time are in the order of the
// reports.
func compareEnds(a, b *end) int {
	return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.number, b.number))
}

// numberMoments sets the moments of all ends, since one that is reported late may join
// two. The caller holds mu.
func (j *Judge) numberMoments() {
	moment, start := 0, time.Time{}
	for _, e := range j.ends {
		if e.at.Sub(start) >= ends.MomentLength {
			moment++
			start = e.at
		}
		e.moment = moment
	}
}

// addPart adds a part to an end and returns what is known of it, or nil if the end
// has too many. The caller holds mu.
func (j *Judge) addPart(e *end, k id.PromptPart, when presence) *part {
	p := j.parts[k]
	if old := e.parts[k]; old != absent {
		e.parts[k] = max(old, when)
		return p
	}
	if len(e.parts) >= maxPartsPerEnd {
		return nil
	}
	if p == nil {
		p = &part{responses: j.early[k].responses}
		delete(j.early, k)
		if j.parts == nil {
			j.parts = map[id.PromptPart]*part{}
		}
		j.parts[k] = p
	}
	e.parts[k] = when
	at, _ := slices.BinarySearchFunc(p.ends, e, compareEnds)
	p.ends = slices.Insert(p.ends, at, e)
	return p
}

// forget drops ends that are too old or too many, and the parts that only they
// had. The caller holds mu.
func (j *Judge) forget(now time.Time) {
	n := max(len(j.ends)-maxEnds, 0)
	for n < len(j.ends) && now.Sub(j.ends[n].at) > ends.Retention {
		n++
	}
	for _, e := range j.ends[:n] {
		for k := range e.parts {
			p := j.parts[k]
			p.ends = p.ends[1:]
			if len(p.ends) == 0 {
				delete(j.parts, k)
			}
		}
	}
	j.ends = slices.Delete(j.ends, 0, n)
}
