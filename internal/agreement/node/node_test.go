package node

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"egretproxy/internal/agreement/record"
	"egretproxy/internal/agreement/replica"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/sitestate"
)

func membershipOf(voters ...id.Keeper) record.Membership {
	var m record.Membership
	for _, k := range voters {
		m = m.With(record.Member{ID: k, Name: string(k[:1]), Address: string(k[:1]), Voter: true})
	}
	return m
}

// applySteps applies all membership steps for a joiner.
func applySteps(t *testing.T, c membershipState, j joiner) record.Membership {
	t.Helper()
	c.joiners = []joiner{j}
	for range 10 {
		next, ok := c.next()
		if !ok {
			return c.members
		}
		c.members = next
	}
	t.Fatal("the membership change did not end within 10 steps")
	return record.Membership{}
}

// TestHoldsLostDiskReturnsAsNewMember replaces a member with one of the same
// name. The old member must be removed first, so that no step needs its vote.
func TestHoldsLostDiskReturnsAsNewMember(t *testing.T) {
	j := joiner{Member: record.Member{ID: "a2", Name: "a", Address: "a"}, durable: true}
	c := membershipState{members: membershipOf("a1", "b1", "c1"), requiredVoters: 3, lastIndex: 9, matchIndexes: map[id.Keeper]uint64{"a2": 9}}
	c.joiners = []joiner{j}
	next, _ := c.next()
	if _, ok := next.Find("a1"); ok || len(next.Voters()) != 2 {
		t.Errorf("membership after the first step: %+v", next)
	}
	if m := applySteps(t, c, j); !m.IsVoter("a2") || len(m.Voters()) != 3 {
		t.Errorf("membership after the last step: %+v", m)
	}
}

// TestHoldsJoinOutlivesLeaders guards against a membership that keeps a lost
// member: the leader changes after every step of a replacement, and each knows
// only the membership and the requests that the new member still sends.
func TestHoldsJoinOutlivesLeaders(t *testing.T) {
	for _, durable := range []bool{true, false} {
		j := joiner{Member: record.Member{ID: "a2", Name: "a", Address: "a"}, durable: durable}
		m := membershipOf("a1", "b1", "c1")
		for steps := 0; mustRequest(replica.Status{Membership: m, Leader: "b1"}, j.ID, durable); steps++ {
			if steps == 10 {
				t.Fatalf("durable %t: the new member still requests after %d steps: %+v", durable, steps, m)
			}
			later := membershipState{members: m, requiredVoters: 3, lastIndex: 9, matchIndexes: map[id.Keeper]uint64{"a2": 9}, joiners: []joiner{j}}
			if next, ok := later.next(); ok {
				m = next
			}
		}
		want := membershipOf("b1", "c1").With(record.Member{ID: "a2", Name: "a", Address: "a", Voter: durable})
		if diff := cmp.Diff(want, m); diff != "" {
			t.Errorf("durable %t: membership (-want +got):\n%s", durable, diff)
		}
	}
}

// TestHoldsUnresponsiveLearnerStaysLearner checks that a learner that never
// responded does not become a voter, even if the log is short.
func TestHoldsUnresponsiveLearnerStaysLearner(t *testing.T) {
	j := joiner{Member: record.Member{ID: "d1", Name: "d", Address: "d"}, durable: true}
	c := membershipState{members: membershipOf("a1", "b1", "c1"), requiredVoters: 5, lastIndex: 9, matchIndexes: map[id.Keeper]uint64{}}
	if m := applySteps(t, c, j); m.IsVoter("d1") || len(m.Members) != 4 {
		t.Errorf("membership with an unresponsive learner: %+v", m)
	}
}

// TestSilentVoterIsReplaced checks that a voter is replaced only after it was
// silent for replaceAfter, and only by a durable learner.
func TestSilentVoterIsReplaced(t *testing.T) {
	j := joiner{Member: record.Member{ID: "d1", Name: "d", Address: "d"}, durable: true}
	c := membershipState{
		members: membershipOf("a1", "b1", "c1"), requiredVoters: 3, lastIndex: 9, replaceAfter: defaultReplaceAfter,
		matchIndexes: map[id.Keeper]uint64{"d1": 9}, inactiveTicks: map[id.Keeper]int{"b1": int(defaultReplaceAfter / tick)},
	}
	if m := applySteps(t, c, j); m.IsVoter("d1") || !m.IsVoter("b1") {
		t.Errorf("voter was replaced too early: %+v", m)
	}
	c.inactiveTicks["b1"]++
	if m := applySteps(t, c, j); !m.IsVoter("d1") || m.IsVoter("b1") || len(m.Voters()) != 3 {
		t.Errorf("silent voter was not replaced: %+v", m)
	}
	j.durable = false
	if m := applySteps(t, c, j); m.IsVoter("d1") {
		t.Errorf("a member without a durable directory became a voter: %+v", m)
	}
}

// keeper is a running node with its state machine.
type keeper struct {
	*Node
	state *sitestate.Machine
	stop  func()
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func startKeeper(t *testing.T, address, dataDir string, peers, initialMembers []string) *keeper {
	t.Helper()
	k := &keeper{state: &sitestate.Machine{}}
	var err error
	k.Node, err = Open(Config{
		Address: address, DataDir: dataDir, InitialMembers: initialMembers, Peers: func() []string { return peers },
		Durable: true, Voters: 3, Machine: k.state,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- k.Run(ctx) }()
	stopped := false
	k.stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("keeper %s ended: %v", address, err)
		}
	}
	t.Cleanup(k.stop)
	return k
}

func propose(t *testing.T, k *keeper, version int64) {
	t.Helper()
	data, err := sitestate.Encode(sitestate.Command{Weights: &sitestate.WeightsChange{Model: "m", Version: version}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if _, err := k.Propose(ctx, data); err != nil {
		t.Fatalf("propose %d: %v", version, err)
	}
}

// TestHoldsAcknowledgedSurvivesLostDisk starts a group, replaces one keeper's
// disk and then restarts all processes. No acknowledged command may be lost. The
// keeper with the new disk joins a group whose only snapshot is the initial one,
// which contains no state.
func TestHoldsAcknowledgedSurvivesLostDisk(t *testing.T) {
	var all []string
	var keepers []*keeper
	dataDirs := []string{t.TempDir(), t.TempDir(), t.TempDir()}
	for range 3 {
		all = append(all, freeAddress(t))
	}
	for i, a := range all {
		keepers = append(keepers, startKeeper(t, a, dataDirs[i], all, all))
	}
	propose(t, keepers[0], 2)
	keepers[1].stop()
	propose(t, keepers[2], 3)
	dataDirs[1] = t.TempDir()
	keepers[1] = startKeeper(t, all[1], dataDirs[1], all, nil)
	for deadline := time.Now().Add(20 * time.Second); !keepers[1].Status().Membership.IsVoter(keepers[1].own.ID); {
		if time.Now().After(deadline) {
			t.Fatalf("not a voter: %+v", keepers[1].Status().Membership)
		}
		time.Sleep(20 * time.Millisecond)
	}
	propose(t, keepers[1], 4)
	for _, k := range keepers {
		k.stop()
	}
	for i, a := range all {
		keepers[i] = startKeeper(t, a, dataDirs[i], all, nil)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for i, k := range keepers {
		if err := k.Confirm(ctx); err != nil {
			t.Fatal(err)
		}
		if got := k.state.State().Weights["m"]; got != 4 {
			t.Errorf("keeper %d holds version %d", i, got)
		}
	}
}

// TestHoldsStoppedKeeperEndsCalls guards against calls that wait for a leader at a
// keeper that stops: their callers' connections were closed before the calls ended,
// so that the callers got no response instead of an error.
func TestHoldsStoppedKeeperEndsCalls(t *testing.T) {
	address := freeAddress(t)
	members := []string{address, freeAddress(t)}
	k := startKeeper(t, address, t.TempDir(), members, members)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	inProgress := make(chan error, 1)
	go func() {
		_, err := k.Propose(ctx, nil)
		inProgress <- err
	}()
	for k.Status().ID == "" {
		time.Sleep(time.Millisecond)
	}
	k.stop()
	if err := <-inProgress; err == nil || ctx.Err() != nil {
		t.Errorf("call in progress: error %v, its context %v", err, ctx.Err())
	}
	if _, err := k.Propose(ctx, nil); err == nil || ctx.Err() != nil {
		t.Errorf("call after the stop: error %v, its context %v", err, ctx.Err())
	}
}
