package rollout

import (
	"testing"
	"time"
)

// TestHoldsLoadsAreStaggered checks the load schedule of versions that were
// staged in time, late, or shortly before they are due, at a site that needs 17
// of its 24 engines. No engine may return after the version is due, and at most
// 7 may be unavailable at once if there is enough time.
func TestHoldsLoadsAreStaggered(t *testing.T) {
	const count = 24
	for name, c := range map[string]struct {
		age time.Duration
		// out is the greatest number of engines that may be unavailable at once.
		out int
	}{
		"staged in time": {2 * time.Second, 7},
		"staged late":    {4 * time.Second, 10},
		"nearly due":     {7 * time.Second, count},
		"overdue":        {9 * time.Second, count},
	} {
		var begin, end []time.Duration
		for i := range count {
			at := (Rollout{}).Moment(Target{Position: i, Count: count, Age: c.age, Due: due})
			begin, end = append(begin, at), append(end, at+ShortDrain+LoadDuration)
			if at < c.age || at > max(c.age, due) {
				t.Errorf("%s: engine %d loads at %s", name, i, at)
			}
			if due-c.age > lateSpread+ShortDrain+LoadDuration && end[i] > due {
				t.Errorf("%s: engine %d returns %s after the version is due", name, i, end[i]-due)
			}
		}
		most := 0
		for _, at := range begin {
			n := 0
			for i := range begin {
				if begin[i] <= at && at < end[i] {
					n++
				}
			}
			most = max(most, n)
		}
		if most > c.out {
			t.Errorf("%s: %d engines are unavailable at once", name, most)
		}
	}
}
