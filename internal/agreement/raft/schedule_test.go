package raft_test

import (
	"fmt"
	"testing"

	"github.com/anishathalye/porcupine"

	"egretproxy/internal/agreement/raft"
	"egretproxy/internal/agreement/record"
	"egretproxy/internal/fleet/id"
)

const (
	scheduleCount = 600
	scheduleSteps = 4000
	finalCommand  = 1 << 40
)

// register is the sequential model for the linearizability check: one value
// that clients write and read. Each operation carries the number of writes up
// to its log index, so that the checker has only one order to try.
var register = porcupine.Model{
	Init: func() any { return registerState{} },
	Step: func(state, in, out any) (bool, any) {
		now, o, at := state.(registerState), in.(operation), out.(registerState)
		if o.write {
			return at.writes == now.writes+1, registerState{writes: at.writes, number: o.number}
		}
		return at.writes == now.writes && at.number == now.number, now
	},
}

// registerState is the state of the register at a log index.
type registerState struct {
	index uint64
	// writes is the number of writes up to index.
	writes int
	number uint64
}

type operation struct {
	write  bool
	number uint64
}

// history records the operations of clients for the linearizability check.
type history struct {
	now    int64
	ops    []porcupine.Operation
	writes map[uint64]int
	reads  map[uint64]int
	// readResults holds the results of reads by token, including those that
	// arrived before bind.
	readResults map[uint64]registerState
}

// TestHoldsAgreementUnderSchedules runs seeded schedules of crashes, torn
// writes, one-way and full partitions, frozen members, and lost, duplicated
// and reordered messages. All members must apply the same commands, no term
// may have two leaders, and the clients' history must be linearizable.
func TestHoldsAgreementUnderSchedules(t *testing.T) {
	for seed := range uint64(scheduleCount) {
		size := []int{3, 5, 7}[seed%3]
		t.Run(fmt.Sprintf("seed=%d/size=%d", seed, size), func(t *testing.T) {
			var rule raft.TermRule
			if seed%4 == 3 {
				rule = raft.RankedTerms{}
			}
			runSchedule(t, seed, size, rule)
		})
	}
}

func runSchedule(t *testing.T, seed uint64, size int, rule raft.TermRule) {
	c := newCluster(t, seed, size, rule)
	h := &history{writes: map[uint64]int{}, reads: map[uint64]int{}, readResults: map[uint64]registerState{}}
	c.onApply = h.onApply
	c.onRead = func(token, index uint64) { h.onRead(token, registerState{index: index, number: c.valueAt(index)}) }
	next := uint64(0)
	for h.now = 1; h.now < scheduleSteps; h.now++ {
		c.step(true)
		switch c.rand.IntN(60) {
		case 0:
			next++
			h.begin(operation{write: true, number: next}, func(i int) {
				h.writes[next] = i
				c.propose(next)
			})
		case 1:
			h.begin(operation{}, func(i int) {
				if token, ok := c.read(); ok {
					h.bind(token, i)
				}
			})
		}
	}
	if err := c.converge(finalCommand); err != nil {
		t.Fatal(err)
	}
	if !porcupine.CheckOperations(register, h.finished()) {
		t.Errorf("history of %d operations is not linearizable", len(h.ops))
	}
}

// begin records the start of an operation, then calls it with its number.
func (h *history) begin(o operation, call func(i int)) {
	i := len(h.ops)
	h.ops = append(h.ops, porcupine.Operation{ClientId: i, Input: o, Call: h.now * 2, Return: -1, Output: registerState{}})
	call(i)
}

// bind associates a read with its token. The result may have arrived already.
func (h *history) bind(token uint64, i int) {
	h.reads[token] = i
	if v, ok := h.readResults[token]; ok {
		h.end(i, v)
	}
}

// end records the first result of an operation.
func (h *history) end(i int, v registerState) {
	if h.ops[i].Return < 0 {
		h.ops[i].Output = v
		h.ops[i].Return = h.now*2 + 1
	}
}

// onApply ends the write of the command, if it is one of the history.
func (h *history) onApply(index, command uint64) {
	if i, ok := h.writes[command]; ok {
		h.end(i, registerState{index: index})
	}
}

func (h *history) onRead(token uint64, v registerState) {
	h.readResults[token] = v
	if i, ok := h.reads[token]; ok {
		h.end(i, v)
	}
}

// writesUpTo returns the number of finished writes up to a log index.
func (h *history) writesUpTo(index uint64) int {
	n := 0
	for _, o := range h.ops {
		if o.Input.(operation).write && o.Return >= 0 && o.Output.(registerState).index <= index {
			n++
		}
	}
	return n
}

// valueAt returns the value of the register at a log index.
func (c *cluster) valueAt(index uint64) uint64 {
	for i := index; i > 0; i-- {
		if v := c.committed[i]; v != 0 && v != finalCommand {
			return v
		}
	}
	return 0
}

// finished returns the operations to check. A write that was not applied when
// all members had converged never took effect.
func (h *history) finished() []porcupine.Operation {
	var out []porcupine.Operation
	for _, o := range h.ops {
		if o.Return < 0 {
			continue
		}
		v := o.Output.(registerState)
		v.writes = h.writesUpTo(v.index)
		o.Output = v
		out = append(out, o)
	}
	return out
}

// TestHoldsLostDiskReturnsAsNewMember replaces a member whose disk is lost,
// under continued writes. The old id must not vote again, since it may have
// forgotten its vote, and the new member must apply the whole log.
func TestHoldsLostDiskReturnsAsNewMember(t *testing.T) {
	for seed := range uint64(40) {
		c := newCluster(t, seed, 3, nil)
		if err := c.converge(1); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		lost := c.order[seed%3]
		old, _ := c.members[lost].node.Membership().Find(lost)
		delete(c.members, lost)
		c.order = remove(c.order, lost)
		joiner := record.Member{ID: lost + "-new", Name: old.Name}
		c.add(joiner.ID, nil)
		for range 60_000 {
			c.step(false)
			peer := c.leader()
			if peer == nil {
				continue
			}
			if c.rand.IntN(300) == 0 {
				c.propose(uint64(2 + c.rand.IntN(1000)))
			}
			if c.rand.IntN(300) == 0 && advanceReplacement(peer.node, joiner, lost) {
				break
			}
			c.process(peer)
		}
		if err := c.converge(5000); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		m := c.leader().node.Membership()
		if _, ok := m.Find(lost); ok || !m.IsVoter(joiner.ID) || len(m.Members) != 3 {
			t.Fatalf("seed %d: membership is %+v", seed, m)
		}
	}
}

// advanceReplacement proposes the next membership change of a replacement and
// reports whether the replacement is complete.
func advanceReplacement(n *raft.Node, joiner record.Member, lost id.Keeper) bool {
	m := n.Membership()
	c, known := m.Find(joiner.ID)
	_, old := m.Find(lost)
	switch {
	case !known:
		n.ProposeMembership(m.With(joiner))
	case !c.Voter && n.MatchIndexes()[joiner.ID]+8 >= n.LastIndex():
		c.Voter = true
		n.ProposeMembership(m.With(c))
	case c.Voter && old:
		n.ProposeMembership(m.Without(lost))
	}
	return c.Voter && !old && n.Commit() == n.LastIndex()
}

func remove(list []id.Keeper, k id.Keeper) []id.Keeper {
	var out []id.Keeper
	for _, c := range list {
		if c != k {
			out = append(out, c)
		}
	}
	return out
}

// TestHoldsReturningMemberDoesNotDisruptLeader isolates one member for a long
// time. Without pre-vote it would increase its term with each timeout and
// depose the leader when it returns.
func TestHoldsReturningMemberDoesNotDisruptLeader(t *testing.T) {
	for seed := range uint64(50) {
		c := newCluster(t, seed, 3, nil)
		if err := c.converge(1); err != nil {
			t.Fatal(err)
		}
		for range 100 {
			c.tickAll()
		}
		lead := c.leader()
		term := lead.node.Term()
		isolated := remove(c.order, lead.id)[seed%2]
		for _, other := range c.order {
			c.blocked[[2]id.Keeper{isolated, other}] = true
			c.blocked[[2]id.Keeper{other, isolated}] = true
		}
		for range 500 {
			c.tickAll()
		}
		if got := c.members[isolated].node.Term(); got != term {
			t.Fatalf("seed %d: the isolated member went from term %d to %d", seed, term, got)
		}
		clear(c.blocked)
		for range 100 {
			c.tickAll()
		}
		if now := c.leader(); now == nil || now.id != lead.id || now.node.Term() != term {
			t.Fatalf("seed %d: leader %s of term %d was deposed", seed, lead.id, term)
		}
	}
}

// tickAll ticks every member once and delivers all messages in order.
func (c *cluster) tickAll() {
	for _, k := range c.order {
		if peer := c.members[k]; !peer.down && !peer.frozen {
			peer.node.Tick()
			c.process(peer)
		}
	}
	for len(c.inFlight) > 0 {
		m := c.inFlight[0]
		c.inFlight = c.inFlight[1:]
		peer := c.members[m.To]
		if peer == nil || peer.down || peer.frozen || c.blocked[[2]id.Keeper{m.From, m.To}] {
			continue
		}
		peer.node.Step(m)
		c.process(peer)
	}
}

// TestHoldsRestartedGroupElectsSoon covers the restart of all members at once: they
// know that they have no leader, and must not wait for one as if its heartbeats
// had just ended. A member that restarts alone must not disrupt the leader.
func TestHoldsRestartedGroupElectsSoon(t *testing.T) {
	for seed := range uint64(50) {
		for _, size := range []int{3, 5} {
			c := newCluster(t, seed, size, nil)
			if err := c.converge(1); err != nil {
				t.Fatal(err)
			}
			for _, k := range c.order {
				c.crash(k)
			}
			for _, k := range c.order {
				c.start(c.members[k])
			}
			c.inFlight = nil
			ticks := 0
			for c.leader() == nil && ticks < 10*raft.DefaultElectionTicks {
				c.tickAll()
				ticks++
			}
			if ticks >= raft.DefaultElectionTicks {
				t.Errorf("seed %d: %d members took %d ticks to elect a leader", seed, size, ticks)
				continue
			}
			lead := c.leader()
			term := lead.node.Term()
			restarted := remove(c.order, lead.id)[seed%2]
			c.crash(restarted)
			c.start(c.members[restarted])
			for range 100 {
				c.tickAll()
			}
			if now := c.leader(); now == nil || now.id != lead.id || now.node.Term() != term {
				t.Errorf("seed %d: the restart of %s deposed the leader", seed, restarted)
			}
		}
	}
}
