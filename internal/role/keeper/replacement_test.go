package keeper

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"egretproxy/internal/agreement/faultdisk"
	"egretproxy/internal/agreement/identity"
	"egretproxy/internal/agreement/journal"
	"egretproxy/internal/agreement/raft"
	"egretproxy/internal/agreement/record"
	"egretproxy/internal/agreement/replica"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/wire/api"
)

const (
	testTick = 10 * time.Millisecond
	// hangGuard ends a test that waits for something that never happens.
	hangGuard = 20 * time.Second
)

// group is a Raft group of keepers in one process. Messages are delivered
// directly and disks are kept in memory. Membership changes are proposed only by
// admit.
type group struct {
	t     *testing.T
	disks map[string]*faultdisk.Disk
	mu    sync.Mutex
	// running holds the keepers by name.
	running map[string]*runningKeeper
}

type runningKeeper struct {
	*Keeper
	own  record.Member
	stop func()
}

// Send implements replica.Transport.
func (g *group) Send(to record.Member, m record.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, k := range g.running {
		if k.own.ID == to.ID {
			k.replica.Deliver(m)
		}
	}
}

func newGroup(t *testing.T, names ...string) *group {
	g := &group{t: t, disks: map[string]*faultdisk.Disk{}, running: map[string]*runningKeeper{}}
	var members []record.Member
	for _, name := range names {
		members = append(members, record.Member{Name: name, Address: name})
	}
	for _, name := range names {
		g.disks[name] = &faultdisk.Disk{}
		if err := identity.Bootstrap(g.disks[name], name, members); err != nil {
			t.Fatal(err)
		}
		g.start(name)
	}
	t.Cleanup(func() {
		for _, name := range names {
			g.kill(name)
		}
	})
	return g
}

// start starts a keeper on its disk. An empty disk gets a new member ID.
func (g *group) start(name string) {
	g.t.Helper()
	own, ok, err := identity.Load(g.disks[name])
	if err == nil && !ok {
		own, err = identity.Create(g.disks[name], name)
	}
	if err != nil {
		g.t.Fatal(err)
	}
	j, err := journal.Open(g.disks[name])
	if err != nil {
		g.t.Fatal(err)
	}
	k := &Keeper{joiners: map[string]record.Member{}}
	k.replica, err = replica.New(replica.Config{
		Raft:    raft.Config{ID: own.ID, Terms: raft.RankedTerms{}, Rand: rand.New(rand.NewPCG(1, uint64(len(g.disks)+len(own.ID))))},
		Address: name, Tick: testTick,
	}, j, k, g)
	if err != nil {
		g.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- k.replica.Run(ctx) }()
	stop := func() {
		cancel()
		if err := <-done; err != nil {
			g.t.Errorf("keeper %s: %v", name, err)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running[name] = &runningKeeper{Keeper: k, own: record.Member{ID: own.ID, Name: name, Address: name}, stop: stop}
}

// kill stops a keeper. What it held in memory is lost.
func (g *group) kill(name string) {
	g.mu.Lock()
	k := g.running[name]
	delete(g.running, name)
	g.mu.Unlock()
	if k != nil {
		k.stop()
	}
}

// list returns the running keepers in the order of their names.
func (g *group) list() []*runningKeeper {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []*runningKeeper
	for _, k := range g.running {
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b *runningKeeper) int {
		if a.own.Name < b.own.Name {
			return -1
		}
		return 1
	})
	return out
}

// await polls until a condition holds. step runs before each poll.
func (g *group) await(what string, step func(), holds func() bool) {
	g.t.Helper()
	for end := time.Now().Add(hangGuard); time.Now().Before(end); time.Sleep(testTick) {
		step()
		if holds() {
			return
		}
	}
	var seen []record.Membership
	for _, k := range g.list() {
		seen = append(seen, k.replica.Status().Membership)
	}
	g.t.Fatalf("never reached: %s; the keepers know the members %+v", what, seen)
}

// leader waits for a leader and returns it.
func (g *group) leader() *runningKeeper {
	g.t.Helper()
	var leader *runningKeeper
	g.await("a leader", func() {}, func() bool {
		for _, k := range g.list() {
			if k.replica.Status().IsLeader {
				leader = k
			}
		}
		return leader != nil
	})
	return leader
}

// admit repeats the keepers' join requests as join does, and lets the leader
// propose the next membership change.
func (g *group) admit() {
	for _, k := range g.list() {
		if k.replica.Status().Membership.IsVoter(k.own.ID) {
			continue
		}
		params, err := json.Marshal(api.JoinRequest{Member: k.own})
		if err != nil {
			g.t.Fatal(err)
		}
		for _, other := range g.list() {
			_, _ = other.handleJoin(g.t.Context(), params)
		}
	}
	for _, k := range g.list() {
		if k.replica.Status().IsLeader {
			k.admitMembers(g.t.Context())
		}
	}
}

// agreed reports whether all running keepers know a membership that is committed
// and satisfies the condition.
func (g *group) agreed(holds func(record.Membership) bool) bool {
	for _, k := range g.list() {
		s := k.replica.Status()
		if s.Commit != s.LastIndex || s.Leader == "" || !holds(s.Membership) {
			return false
		}
	}
	return true
}

// TestHoldsReplacementOutlivesLeader guards against a membership that keeps a
// member whose disk was lost: the leader is killed between two steps of the
// replacement, and later leaders know of it only what the log holds.
func TestHoldsReplacementOutlivesLeader(t *testing.T) {
	steps := []struct {
		name string
		done func(m record.Membership, joiner id.Keeper) bool
	}{
		{"after the new member became a learner", func(m record.Membership, joiner id.Keeper) bool {
			c, known := m.Find(joiner)
			return known && !c.Voter
		}},
		{"after the new member became a voter", record.Membership.IsVoter},
	}
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) {
			g := newGroup(t, "a", "b", "c")
			lost := "a"
			if g.leader().own.Name == lost {
				lost = "b"
			}
			// The second time, the lost member is itself a replacement.
			for range 2 {
				g.replace(lost, step.done)
			}
		})
	}
}

// replace loses the disk of a keeper, kills the leader after a step of the
// replacement, and waits until the replacement is complete.
func (g *group) replace(lost string, done func(m record.Membership, joiner id.Keeper) bool) {
	g.t.Helper()
	g.kill(lost)
	g.disks[lost].Wipe()
	g.start(lost)
	joiner := g.running[lost].own.ID
	reached := func(m record.Membership) bool { return done(m, joiner) }
	g.await("the step before the kill", func() {
		if !reached(g.leader().replica.Status().Membership) {
			g.admit()
		}
	}, func() bool { return g.agreed(reached) })
	leader := g.leader().own.Name
	g.kill(leader)
	g.start(leader)
	g.await("three voters again", g.admit, func() bool {
		return g.agreed(func(m record.Membership) bool {
			return len(m.Members) == 3 && len(m.Voters()) == 3 && m.IsVoter(joiner)
		})
	})
}
