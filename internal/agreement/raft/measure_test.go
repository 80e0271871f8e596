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
	_       = flag.String("out", "", "directory for results; unused by this package")
)

const (
	tickMilliseconds     = 50
	trialCount           = 2000
	maxTrialMilliseconds = 30_000
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

// electionMilliseconds runs one trial: the leader stops and, with isolateOne,
// one follower is partitioned from all others. It returns the milliseconds
// until another member leads.
func electionMilliseconds(size int, rule raft.TermRule, isolateOne bool, seed uint64) int {
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
	var inFlight deliveries
	sequence := 0
	var dead, isolated id.Keeper
	deadAt := 0
	for now := 0; now < maxTrialMilliseconds; now++ {
		send := func(n *raft.Node) {
			for n.HasReady() {
				r := n.Ready()
				n.Advance(r)
				for _, msg := range r.Messages {
					if msg.From == isolated || msg.To == isolated || msg.From == dead || msg.To == dead {
						continue
					}
					sequence++
					heap.Push(&inFlight, delivery{at: now + 1 + random.IntN(3), n: sequence, m: msg})
				}
			}
		}
		for len(inFlight) > 0 && inFlight[0].at <= now {
			d := heap.Pop(&inFlight).(delivery)
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
			if !n.IsLeader() || c.ID == isolated {
				continue
			}
			if dead != "" {
				return now - deadAt
			}
			if now > 5000 && random.IntN(tickMilliseconds) == 0 {
				dead, deadAt = c.ID, now
				if isolateOne {
					isolated = m.Members[(slices.Index(m.Members, c)+1)%size].ID
				}
			}
		}
	}
	return maxTrialMilliseconds
}

// TestMeasureElections compares the election times of plain Raft terms with
// those of RankedTerms.
func TestMeasureElections(t *testing.T) {
	n := trialCount
	if !*measure {
		n = 20
	}
	for _, size := range []int{3, 5, 7} {
		for _, isolateOne := range []bool{false, true} {
			if isolateOne && size == 3 {
				continue
			}
			for name, rule := range map[string]raft.TermRule{"plain": nil, "ranked": raft.RankedTerms{}} {
				var times []int
				for seed := range uint64(n) {
					times = append(times, electionMilliseconds(size, rule, isolateOne, seed))
				}
				slices.Sort(times)
				if times[len(times)-1] >= maxTrialMilliseconds {
					t.Errorf("%d members, %s: no leader within %d ms", size, name, maxTrialMilliseconds)
				}
				t.Logf("members=%d cut=%v vote=%s trials=%d: 50th %d ms, 95th %d ms, 99th %d ms, longest %d ms",
					size, isolateOne, name, n, times[n/2], times[n*95/100], times[n*99/100], times[n-1])
			}
		}
	}
}
