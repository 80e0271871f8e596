package rollout

import (
	"slices"
	"testing"
	"time"
)

const due = 7300 * time.Millisecond

// TestHoldsMomentsAreSpread checks the moments of versions that were staged in time,
// late or shortly before they are due, with spare capacity and without. No target may
// stop taking requests later than the version is due, and those that load at a time
// must leave the others able to bear the traffic.
func TestHoldsMomentsAreSpread(t *testing.T) {
	const count = 24
	for name, c := range map[string]struct {
		rollout Rollout
		busy    float64
		age     time.Duration
		// out is the time that a target is out of service, most the greatest number
		// of targets that may be so at once.
		out  time.Duration
		most int
	}{
		"calm":                  {Rollout{6 * time.Second}, 0.4, 2 * time.Second, 900 * time.Millisecond, 9},
		"calm, staged late":     {Rollout{6 * time.Second}, 0.4, 4 * time.Second, 900 * time.Millisecond, 12},
		"most capacity used":    {Rollout{6 * time.Second}, 0.7, 2 * time.Second, 900 * time.Millisecond, 7},
		"all capacity used":     {Rollout{6 * time.Second}, 1.2, 2 * time.Second, 900 * time.Millisecond, 7},
		"nearly due":            {Rollout{6 * time.Second}, 0.4, 7 * time.Second, 900 * time.Millisecond, count},
		"overdue":               {Rollout{6 * time.Second}, 0.4, 9 * time.Second, 900 * time.Millisecond, count},
		"nothing runs at first": {Rollout{6 * time.Second}, 0, 2 * time.Second, 900 * time.Millisecond, 9},
	} {
		var moments []time.Duration
		for i := range count {
			at := c.rollout.Moment(Target{Position: i, Count: count, Busy: c.busy, Age: c.age, Due: due})
			if at < c.age || at > max(c.age, due) {
				t.Errorf("%s: target %d stops at %s", name, i, at)
			}
			moments = append(moments, at)
		}
		if !slices.IsSorted(moments) {
			t.Errorf("%s: moments %s", name, moments)
		}
		for i, from := range moments {
			n := 0
			for _, at := range moments[i:] {
				if at < from+c.out {
					n++
				}
			}
			if n > c.most {
				t.Errorf("%s: %d targets are out of service at %s, want %d at most", name, n, from, c.most)
				break
			}
		}
	}
}

// TestHoldsAnnouncedMomentsEnd guards against targets that get no long requests for as
// long as a version can't be staged.
func TestHoldsAnnouncedMomentsEnd(t *testing.T) {
	r := Rollout{6 * time.Second}
	first, until := r.Announced(Target{Count: 24, Busy: 0.4, Due: due})
	if first != StagingTime || until < StagingTime || until > due-ShortDrain-LoadDuration-minSpread {
		t.Errorf("announced %s until %s", first, until)
	}
	for _, age := range []time.Duration{time.Second, 5 * time.Second, time.Minute} {
		if later, end := r.Announced(Target{Count: 24, Busy: 0.4, Due: due, Age: age}); later != first || end != until {
			t.Errorf("announced %s until %s at %s", later, end, age)
		}
	}
}

// TestHoldsWaitEndsWhereCapacityIsShort checks how long targets wait for their requests.
func TestHoldsWaitEndsWhereCapacityIsShort(t *testing.T) {
	for name, c := range map[string]struct {
		drain time.Duration
		load  Load
		want  time.Duration
	}{
		"calm":              {6 * time.Second, Load{Busy: 0.4, Left: 4 * time.Second}, 6 * time.Second},
		"capacity is short": {6 * time.Second, Load{Busy: 0.9, Left: 4 * time.Second}, ShortDrain},
		"traffic has grown": {6 * time.Second, Load{Busy: 0.4, Now: 1, Left: 4 * time.Second}, ShortDrain},
		"staged late":       {6 * time.Second, Load{Busy: 0.4, Left: 1500 * time.Millisecond}, ShortDrain},
		"overdue":           {6 * time.Second, Load{Busy: 0.4, Left: -time.Second}, ShortDrain},
		"not asked for":     {0, Load{Busy: 0.4, Left: 4 * time.Second}, ShortDrain},
	} {
		if got := (Rollout{c.drain}).Patience(c.load); got != c.want {
			t.Errorf("%s: waits for %s, want %s", name, got, c.want)
		}
	}
}
