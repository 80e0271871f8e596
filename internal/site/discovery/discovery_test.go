package discovery

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"egretproxy/internal/kernel/boottime"
)

func stageOf(r *Registry, k string) (Stage, bool) {
	all, _ := r.Since(0)
	for _, t := range all {
		if string(t.ID) == k {
			return t.Stage, true
		}
	}
	return 0, false
}

// TestStaleAnnouncementsAreIgnored checks announcements that arrive out of
// order, after the target left and after it restarted.
func TestStaleAnnouncementsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r Registry
		r.Announce(Target{ID: "a", Address: "x", Born: 100, Sequence: 5})
		r.Announce(Target{ID: "a", Address: "x", Born: 100, Sequence: 7, Stage: Draining})
		r.Announce(Target{ID: "a", Address: "x", Born: 100, Sequence: 6})
		if s, _ := stageOf(&r, "a"); s != Draining {
			t.Errorf("older announcement ended draining: stage %d", s)
		}
		r.Leave("a", boottime.Now())
		r.Announce(Target{ID: "a", Address: "x", Born: 100, Sequence: 9})
		if s, _ := stageOf(&r, "a"); s != Gone {
			t.Errorf("late announcement brought a target back: stage %d", s)
		}
		r.Announce(Target{ID: "a", Address: "x", Born: 200, Sequence: 1})
		if s, _ := stageOf(&r, "a"); s != Ready {
			t.Errorf("new incarnation was ignored: stage %d", s)
		}
	})
}

func TestLeaveOfUnknownTargetIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r Registry
		r.Leave("a", boottime.Now())
		if s, ok := stageOf(&r, "a"); !ok || s != Gone {
			t.Fatalf("stage %d, known %v", s, ok)
		}
		r.Announce(Target{ID: "a", Address: "x", Born: 100, Sequence: 9})
		if s, _ := stageOf(&r, "a"); s != Gone {
			t.Error("late announcement brought a target back")
		}
		time.Sleep(lateArrivalWindow + time.Second)
		r.Announce(Target{ID: "a", Address: "x", Born: 300, Sequence: 1})
		if s, _ := stageOf(&r, "a"); s != Ready {
			t.Error("incarnation that started long after was ignored")
		}
	})
}

func TestSilentTargetIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r Registry
		r.Announce(Target{ID: "a", Address: "x", Born: 1, Sequence: 1})
		_, position := r.Since(0)
		if r.Announce(Target{ID: "a", Address: "x", Born: 1, Sequence: 2}) {
			t.Error("unchanged announcement was reported as a change")
		}
		time.Sleep(SilenceTimeout + time.Second)
		changed, _ := r.Since(position)
		if len(changed) != 1 || changed[0].Stage != Silent {
			t.Errorf("changed: %+v", changed)
		}
		r.Announce(Target{ID: "a", Address: "x", Born: 1, Sequence: 3})
		if s, _ := stageOf(&r, "a"); s != Ready {
			t.Errorf("stage %d after it announced itself again", s)
		}
	})
}

// TestHoldsDepartureOfUnknownIncarnationIsRecorded guards against the departure of an
// incarnation that announced itself elsewhere, at a keeper that holds an earlier one: it
// must be recorded without a start time, so that entries apply it to the one that they
// know.
func TestHoldsDepartureOfUnknownIncarnationIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, left := range []bool{true, false} {
			var r Registry
			r.Announce(Target{ID: "a", Address: "x", Born: 100, Sequence: 5})
			if left {
				if changed, err := r.Leave("a", boottime.Now()); !changed || err != nil || r.Record("a").Born != 100 {
					t.Errorf("departure of the incarnation that is live: %+v, error %v", r.Record("a"), err)
				}
			}
			time.Sleep(lateArrivalWindow + time.Second)
			r.Since(0)
			if changed, err := r.Leave("a", boottime.Now()); !changed || err != nil || r.Record("a") != (Target{ID: "a", Stage: Gone}) {
				t.Errorf("departure of an incarnation that is not known, left %t: %+v, error %v", left, r.Record("a"), err)
			}
		}
	})
}

// TestHoldsLateDepartureIsRefused guards against a departure that is read late, for
// example by a keeper that was frozen, after the target has started anew under its id:
// the new incarnation got no requests for a minute.
func TestHoldsLateDepartureIsRefused(t *testing.T) {
	var r Registry
	r.Announce(Target{ID: "a", Address: "x", Born: 100, Sequence: 5})
	late := boottime.Now()
	r.Announce(Target{ID: "a", Address: "x", Born: 200, Sequence: 1})
	current := boottime.Now()
	r.Announce(Target{ID: "a", Address: "x", Born: 200, Sequence: 2})
	if _, err := r.Leave("a", late); !errors.Is(err, ErrLateDeparture) {
		t.Errorf("departure that may be that of the first incarnation: error %v, want %v", err, ErrLateDeparture)
	}
	if s, _ := stageOf(&r, "a"); s != Ready {
		t.Errorf("stage %d after it, want ready", s)
	}
	if changed, err := r.Leave("a", current); !changed || err != nil {
		t.Errorf("departure of the second incarnation: changed %t, error %v", changed, err)
	}
	if s, _ := stageOf(&r, "a"); s != Gone {
		t.Errorf("stage %d after it, want gone", s)
	}
}
