package sitekeeper

import (
	"testing"
	"testing/synctest"
	"time"

	"egretproxy/internal/kernel/boottime"
	"egretproxy/internal/site/watch"
)

// TestHoldsUnconfirmedWatcherIsWoken covers the restart of all processes: an entry
// gets the plan before the keepers have elected a leader, and can't accept keys
// until the next response to its watch, which keepers held back although a quorum
// had confirmed the state meanwhile.
func TestHoldsUnconfirmedWatcherIsWoken(t *testing.T) {
	const hold, confirmedAfter = time.Second, 100 * time.Millisecond
	for name, c := range map[string]struct {
		unconfirmed bool
		want        time.Duration
	}{
		"without a confirmation": {true, confirmedAfter},
		"with a confirmation":    {false, hold},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := &Keeper{epoch: "e", watchers: map[watcher]watcherState{}}
				time.AfterFunc(confirmedAfter, func() { k.recordConfirmation(boottime.Now()) })
				began := time.Now()
				k.awaitChanges(t.Context(), watch.Request{Epoch: "e", Unconfirmed: c.unconfirmed, HoldMs: hold.Milliseconds()})
				if held := time.Since(began); held != c.want {
					t.Errorf("the response was held for %s, want %s", held, c.want)
				}
			})
		})
	}
}
