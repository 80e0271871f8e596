package raft_test

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"egretproxy/internal/agreement/faultdisk"
	"egretproxy/internal/agreement/journal"
	"egretproxy/internal/agreement/raft"
	"egretproxy/internal/agreement/record"
	"egretproxy/internal/fleet/id"
)

// member is one keeper of a test group: a node, its disk, and a state machine
// that records the applied commands.
type member struct {
	id      id.Keeper
	node    *raft.Node
	journal *journal.Journal
	disk    *faultdisk.Disk
	snap    *record.Snapshot
	// applied holds the commands by log index, from the snapshot on.
	applied map[uint64]uint64
	last    uint64
	down    bool
	// frozen members neither tick nor receive messages.
	frozen bool
}

// cluster is a Raft group under a seeded schedule of faults.
type cluster struct {
	t        *testing.T
	rand     *rand.Rand
	terms    raft.TermRule
	members  map[id.Keeper]*member
	order    []id.Keeper
	inFlight []record.Message
	blocked  map[[2]id.Keeper]bool
	// committed is the command that the first member applied at each index.
	committed map[uint64]uint64
	reads     map[uint64]uint64
	token     uint64
	// leaders holds the leader of each term.
	leaders map[uint64]id.Keeper
	// noCrashes disables crashes between Ready and the sync.
	noCrashes bool
	// snapshotEvery is the number of entries between snapshots.
	snapshotEvery uint64
	onApply       func(index, command uint64)
	onRead        func(token, index uint64)
}

func newCluster(t *testing.T, seed uint64, size int, terms raft.TermRule) *cluster {
	c := &cluster{
		t: t, rand: rand.New(rand.NewPCG(seed, uint64(size))), terms: terms,
		members: map[id.Keeper]*member{}, blocked: map[[2]id.Keeper]bool{},
		committed: map[uint64]uint64{}, reads: map[uint64]uint64{}, leaders: map[uint64]id.Keeper{},
		snapshotEvery: 40,
	}
	var m record.Membership
	for i := range size {
		m = m.With(record.Member{ID: id.Keeper(fmt.Sprintf("k%d", i)), Name: fmt.Sprint(i), Voter: true})
	}
	for _, v := range m.Members {
		c.add(v.ID, &record.Snapshot{Index: 1, Term: 1, Membership: m})
	}
	return c
}

// add starts a member on an empty disk. first is the bootstrap snapshot, or nil
// for a member that joins.
func (c *cluster) add(k id.Keeper, first *record.Snapshot) {
	peer := &member{id: k, disk: &faultdisk.Disk{}}
	c.members[k] = peer
	c.order = append(c.order, k)
	if first != nil {
		j, err := journal.Open(peer.disk)
		if err != nil {
			c.t.Fatal(err)
		}
		if err := j.SaveSnapshot(first, true); err != nil {
			c.t.Fatal(err)
		}
	}
	c.start(peer)
}

func (c *cluster) start(peer *member) {
	j, err := journal.Open(peer.disk)
	if err != nil {
		c.t.Fatalf("%s: open journal: %v", peer.id, err)
	}
	hard, snap, entries := j.State()
	peer.journal, peer.snap, peer.down = j, snap, false
	peer.applied = map[uint64]uint64{}
	peer.last = 0
	if snap != nil {
		peer.restore(snap)
	}
	peer.node = raft.New(raft.Config{
		ID: peer.id, Rand: rand.New(rand.NewPCG(c.rand.Uint64(), 1)), Terms: c.terms,
		Snapshot: func() *record.Snapshot { return peer.snap },
	}, hard, snap, entries)
}

func (m *member) restore(s *record.Snapshot) {
	m.last = s.Index
	m.applied = map[uint64]uint64{}
}

func (c *cluster) crash(k id.Keeper) {
	peer := c.members[k]
	peer.down = true
	peer.disk.Crash(c.rand)
}

// process acts as the driver of a node: it persists, sends and applies. What may be sent
// before the sync is sent even if the member crashes in it.
func (c *cluster) process(peer *member) {
	for !peer.down && peer.node.HasReady() {
		r := peer.node.Ready()
		if r.Snapshot != nil {
			c.must(peer.journal.SaveSnapshot(r.Snapshot, true))
			peer.snap = r.Snapshot
			peer.restore(r.Snapshot)
		}
		early, late := r.SplitMessages()
		c.inFlight = append(c.inFlight, early...)
		if len(r.Entries) > 0 && c.rand.IntN(4) == 0 {
			c.slowSync(peer, r)
		}
		if !c.noCrashes && c.rand.IntN(200) == 0 {
			// Crash before the sync: no other message of this Ready was sent.
			c.crash(peer.id)
			return
		}
		c.must(peer.journal.Save(r.HardState, r.Truncate, r.Entries))
		peer.node.Advance(r)
		c.inFlight = append(c.inFlight, late...)
		c.apply(peer, r)
	}
	if !peer.down && peer.node.IsLeader() {
		c.checkLeader(peer)
	}
}

// slowSync sends what a member may send while its disk syncs: a leader its heartbeats, a
// follower the response to the next append that is on its way to it.
func (c *cluster) slowSync(peer *member, r raft.Ready) {
	c.inFlight = append(c.inFlight, peer.node.Heartbeats(r)...)
	response, ok := peer.node.HeartbeatResponse(r)
	if !ok {
		return
	}
	for _, m := range c.inFlight {
		if m.Kind == record.AppendRequest && m.To == response.From && m.From == response.To && m.Term == response.Term {
			response.Round = m.Round
			c.inFlight = append(c.inFlight, response)
			return
		}
	}
}

func (c *cluster) must(err error) {
	if err != nil {
		c.t.Fatal(err)
	}
}

// checkLeader checks that a term has at most one leader.
func (c *cluster) checkLeader(peer *member) {
	if other, ok := c.leaders[peer.node.Term()]; ok && other != peer.id {
		c.t.Fatalf("term %d has two leaders: %s and %s", peer.node.Term(), other, peer.id)
	}
	c.leaders[peer.node.Term()] = peer.id
}

// apply checks that all members apply the same command at each index.
func (c *cluster) apply(peer *member, r raft.Ready) {
	for _, e := range r.Committed {
		if e.Index != peer.last+1 {
			c.t.Fatalf("%s applies %d after %d", peer.id, e.Index, peer.last)
		}
		peer.last = e.Index
		var command uint64
		if e.Kind == record.KindCommand {
			command = binary.BigEndian.Uint64(e.Data)
		}
		peer.applied[e.Index] = command
		if other, ok := c.committed[e.Index]; ok && other != command {
			c.t.Fatalf("%s applies %d at %d, another member applied %d", peer.id, command, e.Index, other)
		}
		_, known := c.committed[e.Index]
		c.committed[e.Index] = command
		if !known && c.onApply != nil {
			c.onApply(e.Index, command)
		}
	}
	for _, s := range r.Reads {
		if c.onRead != nil {
			c.onRead(s.Token, s.Index)
		}
	}
	if peer.last > 0 && (peer.snap == nil || peer.last >= peer.snap.Index+c.snapshotEvery) {
		s := &record.Snapshot{Index: peer.last, Term: peer.node.TermAt(peer.last), Membership: peer.node.MembershipAt(peer.last)}
		c.must(peer.journal.SaveSnapshot(s, false))
		peer.snap = s
		peer.node.Compact(peer.last)
	}
}

func (c *cluster) leader() *member {
	var best *member
	for _, peer := range c.members {
		if !peer.down && !peer.frozen && peer.node.IsLeader() && (best == nil || peer.node.Term() > best.node.Term()) {
			best = peer
		}
	}
	return best
}

// deliver delivers one of the oldest messages at random, so that messages are
// reordered. Some are lost or duplicated.
func (c *cluster) deliver() {
	if len(c.inFlight) == 0 {
		return
	}
	i := c.rand.IntN(min(len(c.inFlight), 8))
	m := c.inFlight[i]
	c.inFlight = append(c.inFlight[:i], c.inFlight[i+1:]...)
	if c.rand.IntN(100) == 0 {
		c.inFlight = append(c.inFlight, m)
	}
	peer := c.members[m.To]
	if peer == nil || peer.down || peer.frozen || c.blocked[[2]id.Keeper{m.From, m.To}] || c.rand.IntN(50) == 0 {
		return
	}
	peer.node.Step(m)
	c.process(peer)
}

// propose submits a command to a random member that acts as leader.
func (c *cluster) propose(command uint64) bool {
	for _, k := range c.shuffled() {
		peer := c.members[k]
		if peer.down || peer.frozen || !peer.node.IsLeader() {
			continue
		}
		_, ok := peer.node.Propose([][]byte{binary.BigEndian.AppendUint64(nil, command)})
		c.process(peer)
		return ok
	}
	return false
}

// read starts a read on a random member that acts as leader.
func (c *cluster) read() (uint64, bool) {
	for _, k := range c.shuffled() {
		peer := c.members[k]
		if peer.down || peer.frozen || !peer.node.IsLeader() {
			continue
		}
		c.token++
		ok := peer.node.ReadIndex(c.token)
		c.process(peer)
		return c.token, ok
	}
	return 0, false
}

func (c *cluster) shuffled() []id.Keeper {
	out := append([]id.Keeper(nil), c.order...)
	c.rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// injectFault injects or ends one random fault.
func (c *cluster) injectFault() {
	k := c.order[c.rand.IntN(len(c.order))]
	peer := c.members[k]
	switch c.rand.IntN(8) {
	case 0:
		if !peer.down {
			c.crash(k)
		}
	case 1, 2:
		if peer.down {
			c.start(peer)
		}
	case 3:
		peer.frozen = !peer.frozen
	case 4:
		other := c.order[c.rand.IntN(len(c.order))]
		c.blocked[[2]id.Keeper{k, other}] = true
	case 5:
		for _, other := range c.order {
			c.blocked[[2]id.Keeper{k, other}] = true
			c.blocked[[2]id.Keeper{other, k}] = true
		}
	default:
		clear(c.blocked)
		peer.frozen = false
	}
}

// step runs one random step of the schedule.
func (c *cluster) step(faults bool) {
	switch n := c.rand.IntN(100); {
	case n < 70:
		c.deliver()
	case n < 98 || !faults:
		peer := c.members[c.order[c.rand.IntN(len(c.order))]]
		if !peer.down && !peer.frozen {
			peer.node.Tick()
			c.process(peer)
		}
	default:
		c.injectFault()
	}
}

// heal ends all faults.
func (c *cluster) heal() {
	clear(c.blocked)
	c.noCrashes = true
	for _, k := range c.order {
		peer := c.members[k]
		peer.frozen = false
		if peer.down {
			c.start(peer)
		}
	}
}

var errNoLeader = errors.New("no leader after healing")

// converge ends all faults and runs until every member has applied a new
// command.
func (c *cluster) converge(command uint64) error {
	c.heal()
	for range 40_000 {
		c.step(false)
		if peer := c.leader(); peer != nil && c.rand.IntN(200) == 0 {
			c.propose(command)
		}
		if c.allApplied(command) {
			return nil
		}
	}
	return errNoLeader
}

func (c *cluster) allApplied(command uint64) bool {
	var at uint64
	for i, v := range c.committed {
		if v == command && (at == 0 || i < at) {
			at = i
		}
	}
	if at == 0 {
		return false
	}
	for _, peer := range c.members {
		if peer.down || peer.last < at {
			return false
		}
	}
	return true
}
