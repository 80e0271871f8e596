package succession

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestHoldsOlderVersionIsFinishedInTime decides on a version whose copy takes 2 s, and a
// load 1 s, with some time left until what is there is due. It must be finished only if
// the newer version can still be loaded by then, or resumed if the newer one stalls.
func TestHoldsOlderVersionIsFinishedInTime(t *testing.T) {
	stalled := Copy{Held: 1, Pieces: 10, Waited: stalledAfter}
	for _, c := range []struct {
		name              string
		older, newer      Copy
		left              time.Duration
		finishes, resumes bool
	}{
		{"NearlyWhole", Copy{Held: 9, Pieces: 10}, Copy{}, 4 * time.Second, true, false},
		{"JustBegun", Copy{Held: 1, Pieces: 10}, Copy{Pieces: 10}, 4 * time.Second, false, false},
		{"JustBegunWithTime", Copy{Held: 1, Pieces: 10}, Copy{Pieces: 10}, 5 * time.Second, true, false},
		{"JustBegunAndNewerStalls", Copy{Held: 1, Pieces: 10}, stalled, 4 * time.Second, false, true},
		{"NewerStallsAndIsDue", Copy{Held: 1, Pieces: 10}, stalled, 0, false, false},
		{"Nothing", Copy{Pieces: 10}, stalled, 4 * time.Second, false, false},
		{"NoManifest", Copy{}, Copy{}, 4 * time.Second, false, false},
		{"Whole", Copy{Held: 10, Pieces: 10}, stalled, 4 * time.Second, false, false},
		{"BothStall", Copy{Held: 9, Pieces: 10, Waited: stalledAfter}, stalled, 4 * time.Second, false, false},
		{"NewerIsWhole", Copy{Held: 9, Pieces: 10}, Copy{Held: 10, Pieces: 10}, 4 * time.Second, false, false},
	} {
		now := time.Now()
		s := Succession{
			Older: c.older, Newer: c.newer, OlderDue: now.Add(c.left), NewerDue: now.Add(c.left + 2*time.Second),
			FetchTime: 2 * time.Second, LoadTime: time.Second, LeadTime: 2 * time.Second,
		}
		if finishes, resumes := s.FinishesOlder(now), s.ResumesOlder(now); finishes != c.finishes || resumes != c.resumes {
			t.Errorf("%s: finishes %v, resumes %v", c.name, finishes, resumes)
		}
	}
}

// TestHoldsOlderVersionServesDuringOutage follows an outage of the source: the older
// version, due in 6 s, is whole, and the newer one, due in 8 s, gets no piece for 5 s.
// The older one must be loaded once the newer one has stalled, or in time before what
// is there is due, but not while pieces of the newer one arrive, nor shortly before it
// must give way itself.
func TestHoldsOlderVersionServesDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		s := Succession{
			Older: Copy{Held: 10, Pieces: 10}, Newer: Copy{Held: 3, Pieces: 10},
			OlderDue: began.Add(6 * time.Second), NewerDue: began.Add(8 * time.Second),
			FetchTime: 2 * time.Second, LeadTime: 2 * time.Second, LoadTime: time.Second / 2,
		}
		loads := map[time.Duration]bool{}
		for range 85 {
			age := time.Since(began)
			s.Newer.Waited = age
			if age >= 5*time.Second {
				s.Newer.Waited = 0
			}
			loads[age] = s.LoadsOlder(time.Now())
			time.Sleep(100 * time.Millisecond)
		}
		for age, loaded := range loads {
			want := age >= stalledAfter && age < 7500*time.Millisecond
			if loaded != want {
				t.Errorf("after %s: loads the older version: %v", age, loaded)
			}
		}
		s.OlderDue = began.Add(time.Hour)
		s.NewerDue = began.Add(time.Hour)
		if s.LoadsOlder(time.Now()) {
			t.Error("loads the older version although pieces of the newer one arrive")
		}
	})
}
