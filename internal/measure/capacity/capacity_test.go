// Package capacity_test benchmarks how the cost of each role grows with the size of
// the deployment, at four or more sizes, for docs/CAPACITY.md.
package capacity_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"egretproxy/internal/admission/targetpool"
	"egretproxy/internal/agreement/disk"
	"egretproxy/internal/agreement/journal"
	"egretproxy/internal/agreement/record"
	"egretproxy/internal/control/ledger"
	"egretproxy/internal/control/rollout"
	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
	_ "egretproxy/internal/routing/affinity"
	"egretproxy/internal/routing/policy"
	"egretproxy/internal/wire/api"
)

var targetCounts = []int{100, 300, 700, 1400}

// ledgerWithTargets returns a ledger with n announced targets and a bundle that is
// being rolled out.
func ledgerWithTargets(n int) *ledger.Ledger {
	l := &ledger.Ledger{}
	index := uint64(1)
	apply := func(name string, change ledger.Change) {
		e, err := ledger.Encode(name, change)
		if err != nil {
			panic(err)
		}
		data, _ := ledger.Marshal(e)
		index++
		l.Apply(index, data)
	}
	for i := range n {
		apply("AnnounceTargets", &ledger.AnnounceTargets{Targets: []view.Target{{
			ID: id.Target(fmt.Sprintf("engine-%04d", i)), Kind: view.TargetEngine,
			Domain: id.Domain(fmt.Sprintf("domain-%d", i%8)), Region: id.Region(fmt.Sprintf("region-%d", i%3)),
			Address: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250), Start: "0123456789ab", Slots: 16,
		}}})
	}
	apply("CreateBundle", &ledger.CreateBundle{Bundle: "v1", Models: []view.ModelSpec{{Name: "guide", Manifest: "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"}}})
	apply("ApproveBundle", &ledger.ApproveBundle{Bundle: "v1", Base: id.Version(index)})
	apply("RollBundle", &ledger.RollBundle{Bundle: "v1"})
	return l
}

// servingView returns a view in which all n targets serve the bundle.
func servingView(n int) view.View {
	l := ledgerWithTargets(n)
	v := *l.View()
	for k, t := range v.Targets {
		t.Phase = view.PhaseServing
		t.Installed = view.Assignment{Bundle: "v1", Model: "guide"}
		v.Targets[k] = t
	}
	return v
}

// BenchmarkEntryRoute measures the time in which an entry admits, routes and
// completes one request, by number of targets.
func BenchmarkEntryRoute(b *testing.B) {
	for _, n := range targetCounts {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			c, err := policy.New("Affinity", random)
			if err != nil {
				b.Fatal(err)
			}
			p := targetpool.New(targetpool.Config{MaxQueue: 1024, MaxWait: time.Second, Policy: c, Rand: random})
			p.SetView(servingView(n))
			for i := 0; b.Loop(); i++ {
				g, ref := p.Acquire(b.Context(), targetpool.Request{Organisation: "huts", Model: "guide", Prefix: uint64(i%500 + 1)})
				if ref != nil {
					b.Fatal(ref)
				}
				g.ReportLoad(1, 16)
				g.Answered()
			}
		})
	}
}

// BenchmarkEntryState measures the memory of an entry's view and target pool and
// the time to replace the view.
func BenchmarkEntryState(b *testing.B) {
	for _, n := range targetCounts {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			c, _ := policy.New("Affinity", random)
			before := heapBytes()
			v := servingView(n)
			p := targetpool.New(targetpool.Config{Policy: c, Rand: random})
			p.SetView(v)
			grown := heapBytes() - before
			for b.Loop() {
				p.SetView(v)
			}
			b.ReportMetric(float64(grown)/1e6, "MB")
			runtime.KeepAlive(p)
		})
	}
}

// heapBytes returns the size of the live heap. The second collection frees what
// the first one left to finalizers and pools.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkRenewalBytes measures the sizes of a renewal request and of its
// responses to an entry and to an agent, by number of targets that changed since
// the last renewal. The usual case is that nothing changed.
func BenchmarkRenewalBytes(b *testing.B) {
	l := ledgerWithTargets(1400)
	newest := l.View().Newest
	for _, changed := range []int{0, 1, 10, 100, 1400} {
		b.Run(fmt.Sprintf("changed=%d", changed), func(b *testing.B) {
			var requestSize, entrySize, agentSize int
			for b.Loop() {
				from := newest - 3 - id.Version(changed)
				if changed == 0 {
					from = newest
				}
				request, _ := json.Marshal(api.RenewRequest{Subscriber: api.Subscriber{Name: "entry-100", Role: "Entry", Have: newest}})
				entryResponse, _ := json.Marshal(api.RenewResponse{Delta: l.View().Since(from, "")})
				agentResponse, _ := json.Marshal(api.RenewResponse{Delta: l.View().Since(from, "engine-0000")})
				requestSize, entrySize, agentSize = len(request), len(entryResponse), len(agentResponse)
			}
			b.ReportMetric(float64(requestSize), "askB")
			b.ReportMetric(float64(entrySize), "entryB")
			b.ReportMetric(float64(agentSize), "agentB")
		})
	}
}

// BenchmarkKeeperDelta measures the time in which a keeper builds the response to
// one renewal.
func BenchmarkKeeperDelta(b *testing.B) {
	for _, n := range targetCounts {
		l := ledgerWithTargets(n)
		b.Run(fmt.Sprintf("unchanged/targets=%d", n), func(b *testing.B) {
			for b.Loop() {
				_, _ = json.Marshal(api.RenewResponse{Delta: l.View().Since(l.View().Newest, "")})
			}
		})
		b.Run(fmt.Sprintf("changed/targets=%d", n), func(b *testing.B) {
			for b.Loop() {
				_, _ = json.Marshal(api.RenewResponse{Delta: l.View().Since(l.View().Newest-1, "")})
			}
		})
	}
}

// BenchmarkKeeperRolloutPlan measures the time in which the leader plans the next steps
// of a rollout.
func BenchmarkKeeperRolloutPlan(b *testing.B) {
	for _, n := range targetCounts {
		l := ledgerWithTargets(n)
		reports := map[id.Target]api.Report{}
		for k := range l.View().Targets {
			reports[k] = api.Report{Phase: view.PhaseServing, Limit: 16, InFlight: 4}
		}
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			for b.Loop() {
				rollout.Plan(l.View(), reports)
			}
		})
	}
}

// BenchmarkKeeperClaims measures the time to apply one claim and the memory of each
// held claim, by number of held claims.
func BenchmarkKeeperClaims(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 50_000, 200_000} {
		b.Run(fmt.Sprintf("held=%d", n), func(b *testing.B) {
			before := heapBytes()
			l := &ledger.Ledger{}
			for i := range n {
				l.Apply(uint64(i+1), encodedClaim(i))
			}
			grown := heapBytes() - before
			i := n
			for b.Loop() {
				l.Apply(uint64(i+1), encodedClaim(i))
				i++
			}
			b.ReportMetric(float64(grown)/float64(n), "B/claim")
		})
	}
}

// encodedClaim returns the log entry of claim i.
func encodedClaim(i int) []byte {
	e, err := ledger.Encode("MakeClaim", &ledger.MakeClaim{
		ClaimKey: ledger.ClaimKey{Organisation: "huts", Key: fmt.Sprintf("rope-%08d", i)},
		Attempt:  id.Request(fmt.Sprintf("%024d", i)), Digest: make([]byte, 32),
	})
	if err != nil {
		panic(err)
	}
	data, _ := ledger.Marshal(e)
	return data
}

// BenchmarkKeeperSnapshot measures the size of a snapshot and the time to take it,
// during which the keeper answers no requests.
func BenchmarkKeeperSnapshot(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 50_000, 200_000} {
		l := ledgerWithTargets(1400)
		for i := range n {
			l.Apply(uint64(i+2000), encodedClaim(i))
		}
		b.Run(fmt.Sprintf("claims=%d", n), func(b *testing.B) {
			size := 0
			for b.Loop() {
				data, err := l.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size)/1e6, "MB")
		})
	}
}

// BenchmarkKeeperRecovery measures the time to open a journal without a snapshot
// and apply its entries, by number of entries.
func BenchmarkKeeperRecovery(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 50_000, 100_000} {
		b.Run(fmt.Sprintf("changes=%d", n), func(b *testing.B) {
			dir, err := disk.Open(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			writeClaims(b, dir, n)
			for b.Loop() {
				j, err := journal.Open(dir)
				if err != nil {
					b.Fatal(err)
				}
				_, _, entries := j.State()
				l := &ledger.Ledger{}
				for _, e := range entries {
					l.Apply(e.Index, e.Data)
				}
				if l.Claims() != n {
					b.Fatalf("%d claims, want %d", l.Claims(), n)
				}
			}
		})
	}
}

// writeClaims writes a journal with n claims.
func writeClaims(b *testing.B, dir *disk.Dir, n int) {
	const batch = 500
	j, err := journal.Open(dir)
	if err != nil {
		b.Fatal(err)
	}
	for first := 0; first < n; first += batch {
		var entries []record.Entry
		for i := first; i < first+batch; i++ {
			entries = append(entries, record.Entry{Index: uint64(i + 1), Term: 1, Data: encodedClaim(i)})
		}
		if err := j.Save(nil, 0, entries); err != nil {
			b.Fatal(err)
		}
	}
	_ = j.Close()
}

// BenchmarkKeeperSync measures the time of one synced journal write and its share
// per change, by number of changes in the write.
func BenchmarkKeeperSync(b *testing.B) {
	for _, n := range []int{1, 8, 64, 512} {
		b.Run(fmt.Sprintf("batch=%d", n), func(b *testing.B) {
			dir, err := disk.Open(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			j, err := journal.Open(dir)
			if err != nil {
				b.Fatal(err)
			}
			index := uint64(0)
			for b.Loop() {
				var entries []record.Entry
				for range n {
					index++
					entries = append(entries, record.Entry{Index: index, Term: 1, Data: encodedClaim(int(index))})
				}
				if err := j.Save(nil, 0, entries); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*n), "us/change")
		})
	}
}
