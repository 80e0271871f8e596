package discovery

import (
	"testing"
	"testing/synctest"
	"time"
)

func stageOf(m *Registry, k string) (Stage, bool) {
	all, _ := m.Since(0)
	for _, t := range all {
		if string(t.ID) == k {
			return t.Stage, true
		}
	}
	return 0, false
}

// TestLateAnnouncementsChangeNothing plays announcements that arrive out of
// order, after a leave and after a restart.
func TestLateAnnouncementsChangeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var m Registry
		m.Announce(Target{ID: "a", Address: "x", Born: 100, Sequence: 5})
		m.Announce(Target{ID: "a", Address: "x", Born: 100, Sequence: 7, Stage: Draining})
		m.Announce(Target{ID: "a", Address: "x", Born: 100, Sequence: 6})
		if s, _ := stageOf(&m, "a"); s != Draining {
			t.Errorf("an older announcement ended draining: stage %d", s)
		}
		m.Leave("a")
		m.Announce(Target{ID: "a", Address: "x", Born: 100, Sequence: 9})
		if s, _ := stageOf(&m, "a"); s != Gone {
			t.Errorf("a late announcement brought a target back: stage %d", s)
		}
		m.Announce(Target{ID: "a", Address: "x", Born: 200, Sequence: 1})
		if s, _ := stageOf(&m, "a"); s != Ready {
			t.Errorf("a new incarnation is not known: stage %d", s)
		}
	})
}

func TestLeaveOfAnUnknownTargetIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var m Registry
		m.Leave("a")
		if s, ok := stageOf(&m, "a"); !ok || s != Gone {
			t.Fatalf("stage %d, known %v", s, ok)
		}
		m.Announce(Target{ID: "a", Address: "x", Born: 100, Sequence: 9})
		if s, _ := stageOf(&m, "a"); s != Gone {
			t.Error("a late announcement brought a target back")
		}
		time.Sleep(lateArrivalWindow + time.Second)
		m.Announce(Target{ID: "a", Address: "x", Born: 300, Sequence: 1})
		if s, _ := stageOf(&m, "a"); s != Ready {
			t.Error("an incarnation that came long after is not known")
		}
	})
}

func TestSilentTargetIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var m Registry
		m.Announce(Target{ID: "a", Address: "x", Born: 1, Sequence: 1})
		_, position := m.Since(0)
		if m.Announce(Target{ID: "a", Address: "x", Born: 1, Sequence: 2}) {
			t.Error("an unchanged announcement is news")
		}
		time.Sleep(SilenceTimeout + time.Second)
		changed, _ := m.Since(position)
		if len(changed) != 1 || changed[0].Stage != Silent {
			t.Errorf("changed: %+v", changed)
		}
		m.Announce(Target{ID: "a", Address: "x", Born: 1, Sequence: 3})
		if s, _ := stageOf(&m, "a"); s != Ready {
			t.Errorf("stage %d after it was heard again", s)
		}
	})
}
