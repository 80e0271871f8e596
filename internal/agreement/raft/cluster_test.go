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
// that lists the applied commands.
type member struct {
	id      id.Keeper
	node    *raft.Node
	journal *journal.Journal
	disk    *faultdisk.Disk
	snap    *record.Snapshot
	// applied is the commands by position, from the snapshot on.
	applied map[uint64]uint64
	last    uint64
	down    bool
	// frozen members neither tick nor read messages.
	frozen bool
}

// cluster is a group under a seeded schedule of faults.
type cluster struct {
	t       *testing.T
	rand    *rand.Rand
	terms   raft.TermRule
	members map[id.Keeper]*member
	order   []id.Keeper
	wire    []record.Message
	cut     map[[2]id.Keeper]bool
	// chosen is the command that some member applied at each position.
	chosen map[uint64]uint64
	reads  map[uint64]uint64
	token  uint64
	// leaders is the leader of each term.
	leaders map[uint64]id.Keeper
	// calm ends crashes in the middle of work.
	calm bool
	// snapshotEvery is the number of entries between snapshots.
	snapshotEvery uint64
	onApply       func(index, command uint64)
	onRead        func(token, index uint64)
}

func newCluster(t *testing.T, seed uint64, size int, terms raft.TermRule) *cluster {
	c := &cluster{
		t: t, rand: rand.New(rand.NewPCG(seed, uint64(size))), terms: terms,
		members: map[id.Keeper]*member{}, cut: map[[2]id.Keeper]bool{},
		chosen: map[uint64]uint64{}, reads: map[uint64]uint64{}, leaders: map[uint64]id.Keeper{},
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

// add starts a member on an empty disk, with a first snapshot or as a joiner.
func (c *cluster) add(k id.Keeper, first *record.Snapshot) {
	b := &member{id: k, disk: &faultdisk.Disk{}}
	c.members[k] = b
	c.order = append(c.order, k)
	if first != nil {
		j, err := journal.Open(b.disk)
		if err != nil {
			c.t.Fatal(err)
		}
		if err := j.SaveSnapshot(first, true); err != nil {
			c.t.Fatal(err)
		}
	}
	c.start(b)
}

func (c *cluster) start(b *member) {
	j, err := journal.Open(b.disk)
	if err != nil {
		c.t.Fatalf("%s: open journal: %v", b.id, err)
	}
	hard, snap, entries := j.State()
	b.journal, b.snap, b.down = j, snap, false
	b.applied = map[uint64]uint64{}
	b.last = 0
	if snap != nil {
		b.restore(snap)
	}
	b.node = raft.New(raft.Config{
		ID: b.id, Rand: rand.New(rand.NewPCG(c.rand.Uint64(), 1)), Terms: c.terms,
		Snapshot: func() *record.Snapshot { return b.snap },
	}, hard, snap, entries)
}

func (b *member) restore(s *record.Snapshot) {
	b.last = s.Index
	b.applied = map[uint64]uint64{}
}

func (c *cluster) crash(k id.Keeper) {
	b := c.members[k]
	b.down = true
	b.disk.Crash(c.rand)
}

// process does what a driver does: persist, send, apply.
func (c *cluster) process(b *member) {
	for !b.down && b.node.HasReady() {
		r := b.node.Ready()
		if r.Snapshot != nil {
			c.must(b.journal.SaveSnapshot(r.Snapshot, true))
			b.snap = r.Snapshot
			b.restore(r.Snapshot)
		}
		if !c.calm && c.rand.IntN(200) == 0 {
			// The process dies before the sync, and nothing was sent.
			c.crash(b.id)
			return
		}
		c.must(b.journal.Save(r.HardState, r.Truncate, r.Entries))
		b.node.Advance(r)
		c.wire = append(c.wire, r.Messages...)
		c.apply(b, r)
	}
	if !b.down && b.node.IsLeader() {
		c.noteLeader(b)
	}
}

func (c *cluster) must(err error) {
	if err != nil {
		c.t.Fatal(err)
	}
}

// noteLeader checks that a term has one leader at most.
func (c *cluster) noteLeader(b *member) {
	if other, ok := c.leaders[b.node.Term()]; ok && other != b.id {
		c.t.Fatalf("term %d has two leaders: %s and %s", b.node.Term(), other, b.id)
	}
	c.leaders[b.node.Term()] = b.id
}

// apply checks that all members apply the same command at a position.
func (c *cluster) apply(b *member, r raft.Ready) {
	for _, e := range r.Committed {
		if e.Index != b.last+1 {
			c.t.Fatalf("%s applies %d after %d", b.id, e.Index, b.last)
		}
		b.last = e.Index
		var command uint64
		if e.Kind == record.KindCommand {
			command = binary.BigEndian.Uint64(e.Data)
		}
		b.applied[e.Index] = command
		if other, ok := c.chosen[e.Index]; ok && other != command {
			c.t.Fatalf("%s applies %d at %d, another member applied %d", b.id, command, e.Index, other)
		}
		_, known := c.chosen[e.Index]
		c.chosen[e.Index] = command
		if !known && c.onApply != nil {
			c.onApply(e.Index, command)
		}
	}
	for _, s := range r.Reads {
		if c.onRead != nil {
			c.onRead(s.Token, s.Index)
		}
	}
	if b.last > 0 && (b.snap == nil || b.last >= b.snap.Index+c.snapshotEvery) {
		s := &record.Snapshot{Index: b.last, Term: b.node.TermAt(b.last), Membership: b.node.MembershipAt(b.last)}
		c.must(b.journal.SaveSnapshot(s, false))
		b.snap = s
		b.node.Compact(b.last)
	}
}

func (c *cluster) leader() *member {
	var best *member
	for _, b := range c.members {
		if !b.down && !b.frozen && b.node.IsLeader() && (best == nil || b.node.Term() > best.node.Term()) {
			best = b
		}
	}
	return best
}

// deliver hands over a random message, so that they overtake each other.
func (c *cluster) deliver() {
	if len(c.wire) == 0 {
		return
	}
	i := c.rand.IntN(min(len(c.wire), 8))
	m := c.wire[i]
	c.wire = append(c.wire[:i], c.wire[i+1:]...)
	if c.rand.IntN(100) == 0 {
		c.wire = append(c.wire, m)
	}
	b := c.members[m.To]
	if b == nil || b.down || b.frozen || c.cut[[2]id.Keeper{m.From, m.To}] || c.rand.IntN(50) == 0 {
		return
	}
	b.node.Step(m)
	c.process(b)
}

// propose submits a command to some member that believes to lead.
func (c *cluster) propose(command uint64) bool {
	for _, k := range c.shuffled() {
		b := c.members[k]
		if b.down || b.frozen || !b.node.IsLeader() {
			continue
		}
		_, ok := b.node.Propose([][]byte{binary.BigEndian.AppendUint64(nil, command)})
		c.process(b)
		return ok
	}
	return false
}

// read asks some member that believes to lead to confirm it.
func (c *cluster) read() (uint64, bool) {
	for _, k := range c.shuffled() {
		b := c.members[k]
		if b.down || b.frozen || !b.node.IsLeader() {
			continue
		}
		c.token++
		ok := b.node.ReadIndex(c.token)
		c.process(b)
		return c.token, ok
	}
	return 0, false
}

func (c *cluster) shuffled() []id.Keeper {
	out := append([]id.Keeper(nil), c.order...)
	c.rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// fault does one thing that may go wrong.
func (c *cluster) fault() {
	k := c.order[c.rand.IntN(len(c.order))]
	b := c.members[k]
	switch c.rand.IntN(8) {
	case 0:
		if !b.down {
			c.crash(k)
		}
	case 1, 2:
		if b.down {
			c.start(b)
		}
	case 3:
		b.frozen = !b.frozen
	case 4:
		other := c.order[c.rand.IntN(len(c.order))]
		c.cut[[2]id.Keeper{k, other}] = true
	case 5:
		for _, other := range c.order {
			c.cut[[2]id.Keeper{k, other}] = true
			c.cut[[2]id.Keeper{other, k}] = true
		}
	default:
		clear(c.cut)
		b.frozen = false
	}
}

// step takes one random step of the schedule.
func (c *cluster) step(faults bool) {
	switch n := c.rand.IntN(100); {
	case n < 70:
		c.deliver()
	case n < 98 || !faults:
		b := c.members[c.order[c.rand.IntN(len(c.order))]]
		if !b.down && !b.frozen {
			b.node.Tick()
			c.process(b)
		}
	default:
		c.fault()
	}
}

// heal ends all faults.
func (c *cluster) heal() {
	clear(c.cut)
	c.calm = true
	for _, k := range c.order {
		b := c.members[k]
		b.frozen = false
		if b.down {
			c.start(b)
		}
	}
}

var errNoLeader = errors.New("no leader after healing")

// settle runs without faults until every member has applied a new command.
func (c *cluster) settle(command uint64) error {
	c.heal()
	for range 40_000 {
		c.step(false)
		if b := c.leader(); b != nil && c.rand.IntN(200) == 0 {
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
	for i, v := range c.chosen {
		if v == command && (at == 0 || i < at) {
			at = i
		}
	}
	if at == 0 {
		return false
	}
	for _, b := range c.members {
		if b.down || b.last < at {
			return false
		}
	}
	return true
}
