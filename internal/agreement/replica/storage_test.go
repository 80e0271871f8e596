package replica_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"egretproxy/internal/agreement/faultdisk"
	"egretproxy/internal/agreement/identity"
	"egretproxy/internal/agreement/journal"
	"egretproxy/internal/agreement/raft"
	"egretproxy/internal/agreement/record"
	"egretproxy/internal/agreement/replica"
)

// values is a state machine that keeps all commands.
type values struct {
	mu  sync.Mutex
	all []string
}

func (v *values) Apply(_ uint64, command []byte) []byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.all = append(v.all, string(command))
	return command
}

func (v *values) Snapshot() ([]byte, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return json.Marshal(v.all)
}

func (v *values) Restore(data []byte) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	return json.Unmarshal(data, &v.all)
}

func (v *values) list() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]string(nil), v.all...)
}

// group is a group of replicas in memory.
type group struct {
	names    []string
	disks    []*faultdisk.Disk
	replicas []*replica.Replica
	values   []*values
	ended    []chan error
}

// Send implements replica.Transport.
func (g *group) Send(to record.Member, m record.Message) {
	for i, name := range g.names {
		if name == to.Name {
			g.replicas[i].Deliver(m)
		}
	}
}

// inBubble runs a call in a bubble, on one processor: threads that fire timers of a bubble
// at the same time crash the race detector of Go 1.26, and members whose ticks fall due
// during a sync do so.
func inBubble(t *testing.T, call func(t *testing.T)) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, call)
}

func startGroup(ctx context.Context, t *testing.T, disks []*faultdisk.Disk) *group {
	t.Helper()
	g := newGroup(t, disks, 1)
	g.run(ctx)
	return g
}

func newGroup(t *testing.T, disks []*faultdisk.Disk, seed uint64) *group {
	t.Helper()
	g := &group{disks: disks}
	var members []record.Member
	for i := range disks {
		g.names = append(g.names, fmt.Sprintf("k%d", i))
		members = append(members, record.Member{Name: g.names[i], Address: g.names[i]})
	}
	for i, d := range disks {
		if _, known, err := identity.Load(d); err != nil {
			t.Fatal(err)
		} else if !known {
			if err := identity.Bootstrap(d, g.names[i], members); err != nil {
				t.Fatal(err)
			}
		}
		j, err := journal.Open(d)
		if err != nil {
			t.Fatal(err)
		}
		v := &values{}
		r, err := replica.New(replica.Config{
			Raft:            raft.Config{ID: identity.BootstrapID(g.names[i]), Rand: rand.New(rand.NewPCG(seed, uint64(i)))},
			SnapshotEntries: 16,
		}, j, v, g)
		if err != nil {
			t.Fatal(err)
		}
		g.replicas, g.values, g.ended = append(g.replicas, r), append(g.values, v), append(g.ended, make(chan error, 1))
	}
	return g
}

func (g *group) run(ctx context.Context) {
	for i, r := range g.replicas {
		go func() { g.ended[i] <- r.Run(ctx) }()
	}
}

// propose submits a value until a member acknowledges it, for 3 s at most.
func (g *group) propose(t *testing.T, value string) {
	t.Helper()
	for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		for _, r := range g.replicas {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			_, err := r.Propose(ctx, []byte(value))
			cancel()
			if err == nil {
				return
			}
		}
	}
	t.Errorf("%s is not acknowledged", value)
}

// TestHoldsFullDisksComeBack guards against a group that takes no changes any more
// although all its members run: their disks were full for some seconds, one after the
// other. Each member must take part again once its disk has room, without a restart.
func TestHoldsFullDisksComeBack(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		disks := []*faultdisk.Disk{{}, {}, {}}
		ctx, cancel := context.WithCancel(t.Context())
		g := startGroup(ctx, t, disks)
		n := 0
		changes := func(count int) {
			for range count {
				g.propose(t, fmt.Sprint("change ", n))
				n++
				time.Sleep(100 * time.Millisecond)
			}
		}
		changes(5)
		for range 2 {
			for _, d := range disks {
				d.Full.Store(true)
				changes(20)
				d.Full.Store(false)
				time.Sleep(2 * time.Second)
				changes(5)
			}
		}
		time.Sleep(2 * time.Second)
		for i, v := range g.values {
			last := v.list()
			if len(last) == 0 || last[len(last)-1] != fmt.Sprint("change ", n-1) {
				t.Errorf("member %d lacks the last change, it has %d", i, len(last))
			}
		}
		want := g.values[0].list()
		cancel()
		for i, ended := range g.ended {
			if err := <-ended; err != nil {
				t.Errorf("member %d ended: %v", i, err)
			}
		}
		ctx, cancel = context.WithCancel(t.Context())
		again := startGroup(ctx, t, disks)
		again.propose(t, "after the restart")
		time.Sleep(2 * time.Second)
		for i, v := range again.values {
			if diff := cmp.Diff(append(want[:len(want):len(want)], "after the restart"), v.list()); diff != "" {
				t.Errorf("member %d after a restart (-want +got):\n%s", i, diff)
			}
		}
		cancel()
		for _, ended := range again.ended {
			<-ended
		}
	})
}
