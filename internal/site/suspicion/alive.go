package suspicion

import (
	"slices"
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/evidence"
)

const (
	// aliveTime is how long it counts that an incarnation lived. Other entries may
	// report later that it had ended before.
	aliveTime = 5 * time.Second
	// maxAlive limits these incarnations.
	maxAlive = 1024
)

type incarnation struct {
	target id.Target
	born   int64
}

// alive is when an incarnation lived.
type alive struct{ at, reportedAt time.Time }

// addAlive drops the end of an incarnation that lived later. The caller holds mu.
func (j *Judge) addAlive(now time.Time, in evidence.Alive) {
	for k, a := range j.alive {
		if now.Sub(a.reportedAt) > aliveTime {
			delete(j.alive, k)
		}
	}
	k, at := incarnation{in.Target, in.Born}, timeOf(now, in.AgeMs)
	if old := j.alive[k]; at.After(old.at) && (len(j.alive) < maxAlive || !old.at.IsZero()) {
		if j.alive == nil {
			j.alive = map[incarnation]alive{}
		}
		j.alive[k] = alive{at, now}
	}
	i := slices.IndexFunc(j.ends, func(e *end) bool { return e.target == in.Target && e.born == in.Born })
	if i < 0 || j.ends[i].last.After(at) {
		return
	}
	e := j.ends[i]
	j.ends = slices.Delete(j.ends, i, i+1)
	j.numberMoments()
	for k := range e.parts {
		p := j.parts[k]
		p.ends = slices.DeleteFunc(p.ends, func(o *end) bool { return o == e })
		if len(p.ends) == 0 {
			delete(j.parts, k)
		}
	}
}
