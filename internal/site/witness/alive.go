package witness

import (
	"slices"
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/evidence"
)

// LivesOn takes back that an incarnation of a target ended, since it lived at a later
// time.
func (w *Witness) LivesOn(target id.Target, born int64, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended.LivesOn(target, born)
	same := func(e evidence.End) bool { return e.Target == target && e.Born == born }
	if i := slices.IndexFunc(w.pending.Ends, same); i >= 0 {
		e := w.pending.Ends[i]
		w.size -= len(e.Fresh) + len(e.Known) + len(e.Requests)
		w.pending.Ends = slices.Delete(w.pending.Ends, i, i+1)
		w.endedAt = slices.Delete(w.endedAt, i, i+1)
	}
	if w.size >= maxPartsPerReport {
		return
	}
	// An earlier report may hold more of the end.
	w.size++
	w.pending.Alive = append(w.pending.Alive, evidence.Alive{Target: target, Born: born})
	w.aliveAt = append(w.aliveAt, at)
	w.changed.Send()
}
