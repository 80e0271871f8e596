package replica_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"egretproxy/internal/agreement/faultdisk"
	"egretproxy/internal/agreement/replica"
)

const (
	// callerPatience is how long an operator waits for a response.
	callerPatience = time.Second
	// electionBound is the time in which a group whose disks are slow from the start must
	// take changes.
	electionBound = 10 * time.Second
	// replaceBound is the time in which another member must lead once the leader's disk
	// hangs, and in which a follower whose disk hangs must count as silent.
	replaceBound = 4 * time.Second
	slowSeeds    = 10
)

// leading returns the member that leads in the highest term, or nil.
func (g *group) leading() (n int, st replica.Status) {
	n = -1
	for i, r := range g.replicas {
		if now := r.Status(); now.IsLeader && now.Term > st.Term {
			n, st = i, now
		}
	}
	return n, st
}

// change submits a value to all members and reports whether one acknowledged it while an
// operator waits.
func (g *group) change(ctx context.Context, value string) bool {
	ctx, cancel := context.WithTimeout(ctx, callerPatience)
	defer cancel()
	var acknowledged atomic.Bool
	var wg sync.WaitGroup
	for _, r := range g.replicas {
		wg.Go(func() {
			for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
				if _, err := r.Propose(ctx, []byte(value)); err == nil {
					acknowledged.Store(true)
					cancel()
				}
			}
		})
	}
	wg.Wait()
	return acknowledged.Load()
}

// awaitChange submits a value until it is acknowledged, and returns the time that took.
func (g *group) awaitChange(t *testing.T, bound time.Duration, value string) time.Duration {
	t.Helper()
	began := time.Now()
	for !g.change(t.Context(), value) {
		if time.Since(began) > bound {
			t.Fatalf("no change is acknowledged within %v", bound)
		}
	}
	return time.Since(began)
}

// runGroup runs a group of three members for the time of a call.
func runGroup(t *testing.T, seed uint64, syncTime time.Duration, call func(t *testing.T, g *group)) {
	t.Helper()
	inBubble(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		g := newGroup(t, []*faultdisk.Disk{{}, {}, {}}, seed)
		for _, d := range g.disks {
			d.SyncNanos.Store(int64(syncTime))
		}
		g.run(ctx)
		defer func() {
			cancel()
			for _, ended := range g.ended {
				<-ended
			}
		}()
		call(t, g)
	})
}

// TestHoldsSlowDisksKeepTheirLeader guards against a group without a leader, whose disks
// take longer to sync than an election: a leader that synced sent no heartbeats, one whose
// followers synced took them for lost, and candidates did not wait for voters that synced.
func TestHoldsSlowDisksKeepTheirLeader(t *testing.T) {
	const fast = time.Millisecond
	for _, c := range []struct {
		name string
		// start is the time of a sync before the first change, leader and follower that
		// after it.
		start, leader, follower time.Duration
	}{
		{"all slow from the start", 250 * time.Millisecond, 250 * time.Millisecond, 250 * time.Millisecond},
		{"all slower than an election from the start", 600 * time.Millisecond, 600 * time.Millisecond, 600 * time.Millisecond},
		{"all nearly too slow for operators", 800 * time.Millisecond, 800 * time.Millisecond, 800 * time.Millisecond},
		{"the leader's turns slow", fast, 600 * time.Millisecond, fast},
		{"the followers' turn slow", fast, fast, 600 * time.Millisecond},
	} {
		for seed := range uint64(slowSeeds) {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				runGroup(t, seed, c.start, func(t *testing.T, g *group) {
					g.awaitChange(t, electionBound, "first")
					leader, before := g.leading()
					for i, d := range g.disks {
						d.SyncNanos.Store(int64(c.follower))
						if i == leader {
							d.SyncNanos.Store(int64(c.leader))
						}
					}
					missed := 0
					for n := range 12 {
						if !g.change(t.Context(), fmt.Sprint("change ", n)) {
							missed++
						}
						time.Sleep(100 * time.Millisecond)
					}
					_, after := g.leading()
					// A snapshot takes several syncs.
					if missed > 1 || after.ID != before.ID || after.Term != before.Term {
						t.Errorf("%d changes were not acknowledged; leader %v in term %d, then %v in term %d",
							missed, before.ID, before.Term, after.ID, after.Term)
					}
				})
			})
		}
	}
}

// TestHoldsHungDiskIsNoLeader guards against a leader that keeps its seat by heartbeats
// although its disk hangs, so that no change is taken.
func TestHoldsHungDiskIsNoLeader(t *testing.T) {
	runGroup(t, 1, time.Millisecond, func(t *testing.T, g *group) {
		g.awaitChange(t, electionBound, "first")
		leader, _ := g.leading()
		g.disks[leader].SyncNanos.Store(int64(time.Minute))
		g.awaitChange(t, replaceBound, "second")
		g.disks[leader].SyncNanos.Store(0)
	})
}

// TestHoldsHungDiskOfFollowerIsSilent guards against a voter that is never replaced
// although its disk hangs, as it goes on to answer heartbeats.
func TestHoldsHungDiskOfFollowerIsSilent(t *testing.T) {
	runGroup(t, 1, time.Millisecond, func(t *testing.T, g *group) {
		g.awaitChange(t, electionBound, "first")
		leader, _ := g.leading()
		hung := (leader + 1) % len(g.disks)
		g.disks[hung].SyncNanos.Store(int64(time.Minute))
		g.awaitChange(t, replaceBound, "second")
		time.Sleep(replaceBound)
		_, st := g.leading()
		silent := time.Duration(st.InactiveTicks[g.replicas[hung].Status().ID]) * replica.DefaultTick
		if silent < replaceBound/2 {
			t.Errorf("%v after its disk hung the follower counts as silent for %v", replaceBound, silent)
		}
	})
}
