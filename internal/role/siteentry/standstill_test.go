package siteentry

import (
	"testing"
	"time"

	"egretproxy/internal/kernel/decisionlog"
)

// TestStandstillIsNoticed checks that a late check is told from one in time, and a
// suspended instance from a process that did not run.
func TestStandstillIsNoticed(t *testing.T) {
	began := moment{time.Now(), time.Hour}
	for name, c := range map[string]struct{ steady, boot, late, suspended time.Duration }{
		"in time":     {steady: standstillTick, boot: standstillTick},
		"not running": {steady: standstillTick + time.Second, boot: standstillTick + time.Second, late: time.Second},
		"suspended":   {steady: standstillTick, boot: standstillTick + 3*time.Second, late: 3 * time.Second, suspended: 3 * time.Second},
	} {
		var s standstill
		if late, suspended := s.tick(began); late != 0 || suspended != 0 {
			t.Errorf("%s: the first check is %v late, suspended %v", name, late, suspended)
		}
		late, suspended := s.tick(moment{began.steady.Add(c.steady), began.boot + c.boot})
		if late != c.late || suspended != c.suspended {
			t.Errorf("%s: %v late, suspended %v, want %v and %v", name, late, suspended, c.late, c.suspended)
		}
	}
}

// TestSuspensionIsLogged checks that an entry whose instance was suspended says so.
func TestSuspensionIsLogged(t *testing.T) {
	te := startEntry(t)
	var logged logBuffer
	te.entry.DecisionLog = decisionlog.New(&logged)
	clock := bootClock{began: time.Now()}
	te.entry.bootNow = clock.now
	te.listenFor(t, unwrapped)
	var line map[string]any
	for line == nil {
		clock.suspend(time.Hour)
		time.Sleep(standstillTick)
		line = logged.find("Process did not run")
	}
	if ms, ok := line["SuspendedMs"].(float64); !ok || ms < float64(time.Hour.Milliseconds())/2 {
		t.Errorf("line %v, want SuspendedMs near an hour", line)
	}
}
