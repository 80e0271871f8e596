package fetch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"testing"
	"testing/fstest"
	"time"

	"github.com/alexedwards/flow"
	"golang.org/x/time/rate"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/standin/chunkserver"
	"egretproxy/internal/weights/fetch"
	"egretproxy/internal/weights/manifest"
	"egretproxy/internal/weights/planner"
	"egretproxy/internal/weights/share"
	"egretproxy/internal/weights/store"
	_ "egretproxy/internal/weights/swarm"
)

// group is a set of agents that fetch the same content over HTTP.
type group struct {
	origin   *chunkserver.Server
	fetchers []*fetch.Fetcher
	peers    []fetch.Peer
	digest   manifest.Digest
	size     int64
}

func newGroup(t *testing.T, agents, regions, size int, link rate.Limit) *group {
	t.Helper()
	g := &group{origin: &chunkserver.Server{}}
	if link > 0 {
		g.origin.BandwidthLimit = rate.NewLimiter(link, 64<<10)
	}
	origin := httptest.NewServer(g.origin.Handler())
	t.Cleanup(origin.Close)
	base, _ := url.Parse(origin.URL)
	put := func(d manifest.Digest, data []byte) error {
		req, _ := http.NewRequest(http.MethodPut, origin.URL+"/chunks/"+string(d), strings.NewReader(string(data)))
		res, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = res.Body.Close()
		}
		return err
	}
	content := make([]byte, size)
	random := rand.New(rand.NewPCG(1, 1))
	for i := range content {
		content[i] = byte(random.Uint32())
	}
	m, err := manifest.Split(fstest.MapFS{"w": {Data: content}}, 64<<10, put)
	if err != nil {
		t.Fatal(err)
	}
	data, digest, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if err := put(digest, data); err != nil {
		t.Fatal(err)
	}
	g.digest, g.size = digest, m.Size()
	for i := range agents {
		g.add(t, i, i%regions, base)
	}
	return g
}

func (g *group) add(t *testing.T, i, region int, origin *url.URL) {
	s := &store.Store{Limit: 64 << 20}
	mux := flow.New()
	(&share.Share{Store: s}).Mount(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	self := planner.Member{Target: id.Target(fmt.Sprintf("t%d", i)), Region: id.Region(fmt.Sprintf("r%d", region))}
	g.peers = append(g.peers, fetch.Peer{Member: self, Address: strings.TrimPrefix(server.URL, "http://")})
	g.fetchers = append(g.fetchers, &fetch.Fetcher{
		Self: self, Store: s, Client: http.DefaultClient, Planner: "Swarm", Scheme: "http",
		Sources: []*url.URL{origin}, Parallel: 4, StallTimeout: 2 * time.Second,
		InstanceRate: 1e9, RegionRate: 1e9,
		Peers: func(context.Context, manifest.Digest) ([]fetch.Peer, error) { return g.peers, nil },
	})
}

// TestOriginServesFewCopies lets six agents in three regions fetch over HTTP
// and guards against agents that fetch from the origin instead of each other.
// The origin may serve at most 3.3 copies.
func TestOriginServesFewCopies(t *testing.T) {
	g := newGroup(t, 6, 3, 2<<20, 0)
	started := time.Now()
	var wg sync.WaitGroup
	for _, f := range g.fetchers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if _, err := f.Fetch(t.Context(), g.digest); err != nil {
				t.Error(err)
			}
		}()
	}
	wg.Wait()
	copies := float64(g.origin.Counts().Bytes) / float64(g.size)
	t.Logf("%.2f copies in %v", copies, time.Since(started))
	if copies > 3.3 {
		t.Errorf("origin served %.2f copies, want at most 3.3", copies)
	}
}

// TestHoldsSupersededTransferEnds cancels a transfer part way. No byte may
// leave the origin after the transfer has returned, and the fetched chunks must
// be kept: the origin serves at most 1.5 copies over both transfers.
func TestHoldsSupersededTransferEnds(t *testing.T) {
	g := newGroup(t, 1, 1, 2<<20, 1<<20)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { _, err := g.fetchers[0].Fetch(ctx, g.digest); done <- err }()
	for g.origin.Counts().Bytes < 512<<10 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if err := <-done; err == nil {
		t.Fatal("a cancelled transfer completed")
	}
	kept := g.fetchers[0].Store.Size()
	if kept == 0 {
		t.Error("no chunk was kept")
	}
	if _, err := g.fetchers[0].Fetch(t.Context(), g.digest); err != nil {
		t.Fatal(err)
	}
	if copies := float64(g.origin.Counts().Bytes) / float64(g.size); copies > 1.5 {
		t.Errorf("origin served %.2f copies over both transfers, want at most 1.5", copies)
	}
}
