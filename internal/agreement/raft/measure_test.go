package raft_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"egretproxy/internal/agreement/raft"
	"egretproxy/internal/agreement/record"
	"egretproxy/internal/fleet/id"
)

var (
	measure = flag.Bool("measure", false, "run the measurements")
	_       = flag.String("out", "", "folder for results, which this package does not write")
)

const (
	tickMilliseconds = 50
	trials           = 2000
	giveUp           = 30_000
)

// delivery is a message that arrives at a time in milliseconds.
type delivery struct {
	at int
	n  int
	m  record.Message
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].n < d[j].n
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

// election runs one trial: the leader dies, and with cut one follower hears
// nobody. It returns the milliseconds until another member leads.
func election(size int, rule raft.TermRule, cut bool, seed uint64) int {
	random := rand.New(rand.NewPCG(seed, uint64(size)))
	var m record.Membership
	for i := range size {
		m = m.With(record.Member{ID: id.Keeper(fmt.Sprintf("k%d", i)), Voter: true})
	}
	snap := &record.Snapshot{Index: 1, Term: 1, Membership: m}
	nodes := map[id.Keeper]*raft.Node{}
	phase := map[id.Keeper]int{}
	for i, c := range m.Members {
		nodes[c.ID] = raft.New(raft.Config{ID: c.ID, Terms: rule, Rand: rand.New(rand.NewPCG(seed, uint64(100+i)))}, record.HardState{}, snap, nil)
		phase[c.ID] = random.IntN(tickMilliseconds)
	}
	var wire deliveries
	sequence := 0
	var dead, lone id.Keeper
	deadAt := 0
	for now := 0; now < giveUp; now++ {
		send := func(n *raft.Node) {
			for n.HasReady() {
				r := n.Ready()
				n.Advance(r)
				for _, msg := range r.Messages {
					if msg.From == lone || msg.To == lone || msg.From == dead || msg.To == dead {
						continue
					}
					sequence++
					heap.Push(&wire, delivery{at: now + 1 + random.IntN(3), n: sequence, m: msg})
				}
			}
		}
		for len(wire) > 0 && wire[0].at <= now {
			d := heap.Pop(&wire).(delivery)
			if d.m.To != dead {
				nodes[d.m.To].Step(d.m)
				send(nodes[d.m.To])
			}
		}
		for _, c := range m.Members {
			n := nodes[c.ID]
			if c.ID == dead {
				continue
			}
			if now%tickMilliseconds == phase[c.ID] {
				n.Tick()
				send(n)
			}
			if !n.IsLeader() || c.ID == lone {
				continue
			}
			if dead != "" {
				return now - deadAt
			}
			if now > 5000 && random.IntN(tickMilliseconds) == 0 {
				dead, deadAt = c.ID, now
				if cut {
					lone = m.Members[(slices.Index(m.Members, c)+1)%size].ID
				}
			}
		}
	}
	return giveUp
}

// TestMeasureElections compares the plain vote with the wider one of the traft
// notes.
func TestMeasureElections(t *testing.T) {
	n := trials
	if !*measure {
		n = 20
	}
	for _, size := range []int{3, 5, 7} {
		for _, cut := range []bool{false, true} {
			if cut && size == 3 {
				continue
			}
			for name, rule := range map[string]raft.TermRule{"plain": nil, "ranked": raft.RankedTerms{}} {
				var times []int
				for seed := range uint64(n) {
					times = append(times, election(size, rule, cut, seed))
				}
				slices.Sort(times)
				if times[len(times)-1] >= giveUp {
					t.Errorf("%d members, %s: no leader within %d ms", size, name, giveUp)
				}
				t.Logf("members=%d cut=%v vote=%s trials=%d: 50th %d ms, 95th %d ms, 99th %d ms, longest %d ms",
					size, cut, name, n, times[n/2], times[n*95/100], times[n*99/100], times[n-1])
			}
		}
	}
}
