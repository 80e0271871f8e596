package sitekeeper

import (
	"testing"
	"time"
)

// TestHoldsPauseDatesCalls guards against calls of other keepers that waited in the
// system's buffers while the process did not run: one that is read right after such a
// pause may have been sent before all that happened during it.
func TestHoldsPauseDatesCalls(t *testing.T) {
	var p pauseLog
	now := time.Hour
	for range 20 {
		now += pauseInterval
		if got := p.record(now, 10).position; got != 10 {
			t.Fatalf("position %d while the process runs, want 10", got)
		}
	}
	now += 4 * time.Second
	if got := p.record(now, 13).position; got != 10 {
		t.Errorf("position %d right after a pause, want the one before it, 10", got)
	}
	for range 5 {
		now += pauseInterval
		if got := p.record(now, 14).position; got != 10 {
			t.Errorf("position %d shortly after a pause, want 10", got)
		}
	}
	now += 2 * time.Second
	if got := p.record(now, 15).position; got != 10 {
		t.Errorf("position %d after a second pause shortly after the first, want 10", got)
	}
	for range 20 {
		now += pauseInterval
		p.record(now, 16)
	}
	if got := p.record(now, 16).position; got != 16 {
		t.Errorf("position %d long after a pause, want 16", got)
	}
}
