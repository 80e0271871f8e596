package siteagent

import (
	"testing"
	"time"
)

// TestHoldsLoadsAreStaggered plays versions that were staged in time, late, and
// shortly before they are due, at a site that needs 17 of its 24 engines: no
// engine is back after the version is due, and no more than 7 are out at once
// where there is time.
func TestHoldsLoadsAreStaggered(t *testing.T) {
	const count = 24
	const due = 7300 * time.Millisecond
	for name, c := range map[string]struct {
		age time.Duration
		// out is the most engines that are out at once.
		out int
	}{
		"staged in time": {2 * time.Second, 7},
		"staged late":    {4 * time.Second, 10},
		"nearly due":     {7 * time.Second, count},
		"overdue":        {9 * time.Second, count},
	} {
		var begin, end []time.Duration
		for i := range count {
			at := loadStart(i, count, c.age, due)
			begin, end = append(begin, at), append(end, at+drainTimeout+loadDuration)
			if at < c.age || at > max(c.age, due) {
				t.Errorf("%s: engine %d loads at %s", name, i, at)
			}
			if due-c.age > lateLoadSpread+drainTimeout+loadDuration && end[i] > due {
				t.Errorf("%s: engine %d is back %s after the version is due", name, i, end[i]-due)
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
			t.Errorf("%s: %d engines are out at once", name, most)
		}
	}
}
