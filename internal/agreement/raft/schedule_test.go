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
	schedules     = 600
	scheduleSteps = 4000
	lastCommand   = 1 << 40
)

// register is the sequential model of the log's clients: one value that is
// written and read. Each operation shows how many writes the log has up to its
// place, so that only one order has to be tried.
var register = porcupine.Model{
	Init: func() any { return value{} },
	Step: func(state, in, out any) (bool, any) {
		now, o, at := state.(value), in.(operation), out.(value)
		if o.write {
			return at.writes == now.writes+1, value{writes: at.writes, number: o.number}
		}
		return at.writes == now.writes && at.number == now.number, now
	},
}

// value is the register at a position of the log.
type value struct {
	position uint64
	// writes is the number of writes up to the position.
	writes int
	number uint64
}

type operation struct {
	write  bool
	number uint64
}

// history records the operations of clients by step.
type history struct {
	now    int64
	ops    []porcupine.Operation
	writes map[uint64]int
	reads  map[uint64]int
	// answers holds reads by token that were answered before their token was
	// known.
	answers map[uint64]value
}

// TestHoldsAgreementUnderSchedules runs seeded schedules of crashes, torn
// writes, cuts one way and both ways, freezes, lost, doubled and overtaking
// messages. All members must apply the same commands, no term may have two
// leaders, and the clients' history must be linearizable.
func TestHoldsAgreementUnderSchedules(t *testing.T) {
	for seed := range uint64(schedules) {
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
	h := &history{writes: map[uint64]int{}, reads: map[uint64]int{}, answers: map[uint64]value{}}
	c.onApply = h.onApply
	c.onRead = func(token, index uint64) { h.onRead(token, value{position: index, number: c.valueAt(index)}) }
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
	if err := c.settle(lastCommand); err != nil {
		t.Fatal(err)
	}
	if !porcupine.CheckOperations(register, h.finished()) {
		t.Errorf("history of %d operations is not linearizable", len(h.ops))
	}
}

// begin notes the call of an operation before it is made.
func (h *history) begin(o operation, call func(i int)) {
	i := len(h.ops)
	h.ops = append(h.ops, porcupine.Operation{ClientId: i, Input: o, Call: h.now * 2, Return: -1, Output: value{}})
	call(i)
}

// bind ties a read to its token. The read may have been answered before its
// token was known.
func (h *history) bind(token uint64, i int) {
	h.reads[token] = i
	if v, ok := h.answers[token]; ok {
		h.end(i, v)
	}
}

// end notes the answer to an operation.
func (h *history) end(i int, v value) {
	if h.ops[i].Return < 0 {
		h.ops[i].Output = v
		h.ops[i].Return = h.now*2 + 1
	}
}

// onApply ends the write.
func (h *history) onApply(index, command uint64) {
	if i, ok := h.writes[command]; ok {
		h.end(i, value{position: index})
	}
}

func (h *history) onRead(token uint64, v value) {
	h.answers[token] = v
	if i, ok := h.reads[token]; ok {
		h.end(i, v)
	}
}

// writesUpTo counts the writes up to a position of the log.
func (h *history) writesUpTo(position uint64) int {
	n := 0
	for _, o := range h.ops {
		if o.Input.(operation).write && o.Return >= 0 && o.Output.(value).position <= position {
			n++
		}
	}
	return n
}

// valueAt returns the value of the register at a position of the log.
func (c *cluster) valueAt(index uint64) uint64 {
	for i := index; i > 0; i-- {
		if v := c.chosen[i]; v != 0 && v != lastCommand {
			return v
		}
	}
	return 0
}

// finished returns the operations to check. A write that was not applied by
// the time when all members agreed again never took effect.
func (h *history) finished() []porcupine.Operation {
	var out []porcupine.Operation
	for _, o := range h.ops {
		if o.Return < 0 {
			continue
		}
		v := o.Output.(value)
		v.writes = h.writesUpTo(v.position)
		o.Output = v
		out = append(out, o)
	}
	return out
}

// TestHoldsLostDiskReturnsAsNewMember replaces a member whose disk is lost while
// commands go on. The old id must not vote again, and the new member must
// apply everything.
func TestHoldsLostDiskReturnsAsNewMember(t *testing.T) {
	for seed := range uint64(40) {
		c := newCluster(t, seed, 3, nil)
		if err := c.settle(1); err != nil {
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
			b := c.leader()
			if b == nil {
				continue
			}
			if c.rand.IntN(300) == 0 {
				c.propose(uint64(2 + c.rand.IntN(1000)))
			}
			if c.rand.IntN(300) == 0 && replaceStep(b.node, joiner, lost) {
				break
			}
			c.process(b)
		}
		if err := c.settle(5000); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		m := c.leader().node.Membership()
		if _, ok := m.Find(lost); ok || !m.IsVoter(joiner.ID) || len(m.Members) != 3 {
			t.Fatalf("seed %d: membership is %+v", seed, m)
		}
	}
}

// replaceStep takes the next step of a replacement. It reports whether that
// is done.
func replaceStep(n *raft.Node, joiner record.Member, lost id.Keeper) bool {
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

// TestHoldsReturningMemberDoesNotUnsettle cuts one member off for a long time.
// When it comes back, the leader must keep its term.
func TestHoldsReturningMemberDoesNotUnsettle(t *testing.T) {
	for seed := range uint64(50) {
		c := newCluster(t, seed, 3, nil)
		if err := c.settle(1); err != nil {
			t.Fatal(err)
		}
		for range 100 {
			c.round()
		}
		lead := c.leader()
		term := lead.node.Term()
		lone := remove(c.order, lead.id)[seed%2]
		for _, other := range c.order {
			c.cut[[2]id.Keeper{lone, other}] = true
			c.cut[[2]id.Keeper{other, lone}] = true
		}
		for range 500 {
			c.round()
		}
		if got := c.members[lone].node.Term(); got != term {
			t.Fatalf("seed %d: the lone member went from term %d to %d", seed, term, got)
		}
		clear(c.cut)
		for range 100 {
			c.round()
		}
		if now := c.leader(); now == nil || now.id != lead.id || now.node.Term() != term {
			t.Fatalf("seed %d: leader %s of term %d was unsettled", seed, lead.id, term)
		}
	}
}

// ackedRound ticks every member once and delivers all that it sends, in order.
func (c *cluster) round() {
	for _, k := range c.order {
		if b := c.members[k]; !b.down && !b.frozen {
			b.node.Tick()
			c.process(b)
		}
	}
	for len(c.wire) > 0 {
		m := c.wire[0]
		c.wire = c.wire[1:]
		b := c.members[m.To]
		if b == nil || b.down || b.frozen || c.cut[[2]id.Keeper{m.From, m.To}] {
			continue
		}
		b.node.Step(m)
		c.process(b)
	}
}
