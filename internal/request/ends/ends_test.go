package ends

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"egretproxy/internal/fleet/id"
)

// TestMomentsCountOnce checks that the targets which a failure domain loses count as
// one end of a request that was at several, and that ends are forgotten.
func TestMomentsCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var m Memory
		const request = "request:1"
		sentAt := time.Now()
		for n := range 20 {
			m.Ended(request, id.Target(fmt.Sprint("t", n)), 1, sentAt)
			if got := m.Count(request); got != 1 {
				t.Errorf("%d moments after %d ends at once", got, n+1)
			}
		}
		time.Sleep(MomentLength)
		m.Ended(request, "t20", 1, sentAt)
		time.Sleep(MomentLength)
		m.Ended(request, "t20", 1, sentAt)
		if got := m.Count(request); got != 2 {
			t.Errorf("%d moments", got)
		}
		time.Sleep(time.Millisecond)
		sentAt = time.Now()
		time.Sleep(time.Millisecond)
		m.Ended(request, "t21", 1, sentAt)
		if got := m.Count(request); got != 3 {
			t.Errorf("%d moments after an end of a repeat", got)
		}
		time.Sleep(Retention + time.Second)
		if got := m.Count(request); got != 0 {
			t.Errorf("%d moments after a long time", got)
		}
		m.Ended(request, "t4", 1, sentAt)
		if got := m.Count(request); got != 1 {
			t.Errorf("%d moments after the next", got)
		}
	})
}

// TestGuiltyRequestPauses checks that one request in each pause is sent, and that a
// whole response ends the pauses.
func TestGuiltyRequestPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var m Memory
		const request = "request:1"
		sent := 0
		var at []time.Duration
		for began := time.Now(); time.Since(began) < time.Hour; time.Sleep(time.Second) {
			held := m.Held(request)
			if left := m.Pause(request); left != held || left > 0 {
				if left != held {
					t.Errorf("held for %s, paused for %s", held, left)
				}
				continue
			}
			sent++
			at = append(at, time.Since(began))
			m.Ended(request, id.Target(fmt.Sprint("t", sent)), 1, time.Now())
		}
		if sent != 3+1+5 || at[3]-at[2] != firstPause || at[4]-at[3] != laterPause {
			t.Errorf("sent %d times: %v", sent, at)
		}
		time.Sleep(laterPause)
		if m.Pause(request) > 0 || m.Pause(request) == 0 {
			t.Error("not exactly one of two was sent")
		}
		if !m.Served(request) || m.Held(request) > 0 || m.Pause(request) > 0 || m.Served(request) {
			t.Error("a whole response does not clear the request")
		}
	})
}

// TestMemoryIsBounded guards against requests without end.
func TestMemoryIsBounded(t *testing.T) {
	var m Memory
	for n := range 3 * maxRequests {
		m.Ended(id.PromptPart(fmt.Sprint(n)), "t", 1, time.Now())
	}
	if m.recent.Len() != maxRequests {
		t.Errorf("%d requests", m.recent.Len())
	}
}

// TestHoldsLivingTargetIsTakenBack checks that only the ends of the incarnation that
// lives on are taken back, in any order, and that the pause ends with them.
func TestHoldsLivingTargetIsTakenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var m Memory
		const request = "request:1"
		for n := range 3 {
			m.Ended(request, id.Target(fmt.Sprint("t", n)), 1, time.Now())
			time.Sleep(MomentLength)
		}
		m.Ended("request:2", "t9", 1, time.Now())
		m.LivesOn("t1", 2)
		m.LivesOn("t7", 1)
		if m.Count(request) != 3 || m.Held(request) == 0 {
			t.Errorf("%d ends, held for %s", m.Count(request), m.Held(request))
		}
		for n, want := range []int{2, 1, 0} {
			m.LivesOn(id.Target(fmt.Sprint("t", (n+1)%3)), 1)
			if m.Count(request) != want || m.Held(request) > 0 {
				t.Errorf("%d ends, want %d, held for %s", m.Count(request), want, m.Held(request))
			}
		}
		if m.Count("request:2") != 1 {
			t.Error("the end under another request is forgotten")
		}
	})
}
