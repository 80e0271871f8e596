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

// early is a response on a part of which no end is known.
type early struct{ at, reportedAt time.Time }

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
		j.addBegun(now, b.Part, timeOf(now, b.AgeMs))
	}
	j.forget(now)
	if j.reported != nil {
		close(j.reported)
		j.reported = nil
	}
}

// timeOf returns the time of what an entry reports with an age. What is older than
// ends.Retention counts for nothing.
func timeOf(now time.Time, ageMs int64) time.Time {
	return now.Add(-time.Duration(min(max(ageMs, 0), 2*ends.Retention.Milliseconds())) * time.Millisecond)
}

// addBegun requires mu.
func (j *Judge) addBegun(now time.Time, k id.PromptPart, at time.Time) {
	if p := j.parts[k]; p != nil {
		if at.After(p.begunAt) {
			p.begunAt = at
		}
		return
	}
	for old, e := range j.early {
		if now.Sub(e.reportedAt) > earlyTime {
			delete(j.early, old)
		}
	}
	e, known := j.early[k]
	if !known && len(j.early) >= maxEarly {
		return
	}
	if j.early == nil {
		j.early = map[id.PromptPart]early{}
	}
	if at.After(e.at) {
		e.at = at
	}
	e.reportedAt = now
	j.early[k] = e
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
		e := &end{target: in.Target, born: in.Born, at: at, last: at, number: j.added, parts: map[id.PromptPart]bool{}}
		j.added++
		i, _ = slices.BinarySearchFunc(j.ends, e, compareEnds)
		j.ends = slices.Insert(j.ends, i, e)
		j.numberMoments()
	}
	for _, k := range in.Fresh {
		j.addPart(j.ends[i], k)
	}
	for _, k := range in.Known {
		if p := j.addPart(j.ends[i], k); p != nil {
			p.known = true
		}
	}
	for _, k := range in.Requests {
		if p := j.addPart(j.ends[i], k); p != nil && slices.Contains(in.Served, k) {
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
func (j *Judge) addPart(e *end, k id.PromptPart) *part {
	p := j.parts[k]
	if e.parts[k] {
		return p
	}
	if len(e.parts) >= maxPartsPerEnd {
		return nil
	}
	if p == nil {
		p = &part{begunAt: j.early[k].at}
		delete(j.early, k)
		if j.parts == nil {
			j.parts = map[id.PromptPart]*part{}
		}
		j.parts[k] = p
	}
	e.parts[k] = true
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
