package siteagent

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/discovery"
	"egretproxy/internal/site/plan"
	"egretproxy/internal/site/siteclient"
	"egretproxy/internal/weights/relay"
)

const pieces = 48

func piece(n int) []byte { return fmt.Appendf(nil, "piece %d", n) }

// pieceOf returns a piece of a version. Versions up to 2 are equal.
func pieceOf(b relay.Bundle, n int) []byte {
	if b.Version <= 2 {
		return piece(n)
	}
	return fmt.Appendf(nil, "piece %d of version %d", n, b.Version)
}

// testSite simulates engines in failure domains that exchange weights in
// memory.
type testSite struct {
	relays map[string]*relay.Relay
	domain map[string]id.Domain

	mu sync.Mutex
	// originPieces counts the pieces served by the origin, crossDomainPieces
	// those sent between failure domains.
	originPieces, crossDomainPieces int
	// originDownUntil is when the origin becomes available again.
	originDownUntil time.Time
	// corruptManifests is the number of subsequent manifests to corrupt.
	corruptManifests int
	// truncated holds the versions of which the origin serves the first piece
	// only.
	truncated map[int64]bool
	// missing holds the versions that the origin doesn't have.
	missing map[int64]bool
	// uploads counts the pieces that each process sent, by address.
	uploads map[string]int
	view    *siteclient.View
	// live replaces view for processes that run while versions are named.
	live atomic.Pointer[siteclient.View]
	// cut is the failure domain that reaches no other one, if any.
	cut id.Domain
	// corrupt holds the pieces to corrupt once.
	corrupt map[int]bool
}

func (site *testSite) Manifest(_ context.Context, b relay.Bundle) (relay.Manifest, error) {
	if err := site.unavailable(b); err != nil {
		return relay.Manifest{}, err
	}
	site.mu.Lock()
	corrupted := site.corruptManifests > 0
	site.corruptManifests--
	site.mu.Unlock()
	var m relay.Manifest
	for n := range pieces {
		sum := sha256.Sum256(pieceOf(b, n))
		if corrupted && n > 0 {
			sum[0] ^= 1
		}
		m.Digests = append(m.Digests, hex.EncodeToString(sum[:]))
	}
	return m, nil
}

func (site *testSite) unavailable(b relay.Bundle) error {
	site.mu.Lock()
	defer site.mu.Unlock()
	if time.Now().Before(site.originDownUntil) || site.missing[b.Version] {
		return errors.New("connection refused")
	}
	return nil
}

func (site *testSite) Piece(_ context.Context, b relay.Bundle, n int) ([]byte, error) {
	if err := site.unavailable(b); err != nil {
		return nil, err
	}
	if site.truncated[b.Version] && n > 0 {
		return nil, errors.New("connection to origin reset")
	}
	time.Sleep(20 * time.Millisecond)
	site.mu.Lock()
	defer site.mu.Unlock()
	site.originPieces++
	if site.corrupt[n] {
		delete(site.corrupt, n)
		return []byte("spoilt"), nil
	}
	return pieceOf(b, n), nil
}

// peers sends requests to the other relays of the site on behalf of one engine.
type peers struct {
	*testSite
	self string
}

func (p peers) Manifest(ctx context.Context, address string, b relay.Bundle) (relay.Manifest, error) {
	return p.relays[address].ServeManifest(ctx, b)
}

func (p peers) Piece(ctx context.Context, address string, b relay.Bundle, n int) ([]byte, error) {
	time.Sleep(40 * time.Millisecond)
	if p.domain[address] != p.domain[p.self] {
		p.mu.Lock()
		p.crossDomainPieces++
		p.mu.Unlock()
	}
	data, err := p.relays[address].Serve(ctx, b, n)
	if err == nil {
		p.mu.Lock()
		p.uploads[address]++
		p.mu.Unlock()
	}
	return data, err
}

func (p peers) Await(ctx context.Context, address string, b relay.Bundle, n int) error {
	_, err := p.relays[address].Serve(ctx, b, n)
	return err
}

type stage struct {
	mu     sync.Mutex
	pieces map[int][]byte
}

func (s *stage) Put(_ context.Context, _ id.Model, n int, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pieces[n] = data
	return nil
}

func (s *stage) Get(_ context.Context, _ id.Model, n int) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pieces[n] == nil {
		return nil, relay.ErrNotHeld
	}
	return s.pieces[n], nil
}

// fixedView is a ViewSource with a constant view.
type fixedView struct{ view *siteclient.View }

func (v fixedView) View() *siteclient.View { return v.view }

// View returns the newest view.
func (site *testSite) View() *siteclient.View {
	if v := site.live.Load(); v != nil {
		return v
	}
	return site.view
}

func newTestSite(domains, perDomain int) (*testSite, []*stage) {
	site := &testSite{relays: map[string]*relay.Relay{}, domain: map[string]id.Domain{}, corrupt: map[int]bool{}, missing: map[int64]bool{}, truncated: map[int64]bool{}, uploads: map[string]int{}}
	v := &siteclient.View{
		Plan: &plan.Plan{Services: map[id.Service]*plan.Service{
			"llm": {Name: "llm", Engine: &plan.Engine{Model: "m"}}, "origin": {Name: "origin", Origin: "o", Domain: "d0"},
		}},
		Targets: map[id.Target]discovery.Target{},
	}
	site.view = v
	var stages []*stage
	for d := range domains {
		for e := range perDomain {
			address := fmt.Sprintf("10.%d.0.%d:80", d, e)
			domain := id.Domain(fmt.Sprintf("d%d", d))
			s := &stage{pieces: map[int][]byte{}}
			stages = append(stages, s)
			t := &Agent{Settings: Settings{Service: "llm", Address: address, Domain: domain, Region: id.Region(domain)}, Views: fixedView{v}}
			site.domain[address] = domain
			site.relays[address] = &relay.Relay{Origin: site, Peers: peers{site, address}, Stage: s, Routes: t.Routes, Priority: t.Priority}
			k := id.Target(address)
			v.Targets[k] = discovery.Target{ID: k, Service: "llm", Address: address, Domain: domain}
		}
	}
	return site, stages
}

func (site *testSite) stageAll(t *testing.T) time.Duration {
	began := time.Now()
	var wg sync.WaitGroup
	for address, r := range site.relays {
		if site.view.Keepers[address] != "" {
			continue
		}
		wg.Go(func() {
			for r.StageBundle(t.Context(), relay.Bundle{Model: "m", Version: 2}) != nil {
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return time.Since(began)
}

func checkStages(t *testing.T, stages []*stage) {
	t.Helper()
	for i, s := range stages {
		for n := range pieces {
			if string(s.pieces[n]) != string(piece(n)) {
				t.Fatalf("engine %d, piece %d: %q", i, n, s.pieces[n])
			}
		}
	}
}

// TestHoldsOneCopyFromTheOrigin stages a version on 24 engines in three failure
// domains. The origin must serve every piece once, and every piece must enter
// each further domain once.
func TestHoldsOneCopyFromTheOrigin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site, stages := newTestSite(3, 8)
		took := site.stageAll(t)
		checkStages(t, stages)
		if site.originPieces != pieces || site.crossDomainPieces != 2*pieces {
			t.Errorf("%d pieces from the origin, %d between domains", site.originPieces, site.crossDomainPieces)
		}
		if took > 3*time.Second {
			t.Errorf("took %s", took)
		}
	})
}

// TestOriginRecoveryCausesNoBurst makes the origin unavailable for six seconds
// while all engines wait for a version. Once it is back, it must serve each
// piece about once instead of once per waiting engine.
func TestOriginRecoveryCausesNoBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site, stages := newTestSite(3, 5)
		site.originDownUntil = time.Now().Add(6 * time.Second)
		took := site.stageAll(t)
		checkStages(t, stages)
		if site.originPieces > pieces+pieces/4 {
			t.Errorf("%d pieces from the origin, want %d", site.originPieces, pieces)
		}
		if took > 12*time.Second {
			t.Errorf("took %s", took)
		}
	})
}

// TestHoldsCorruptPiecesAreReplaced corrupts pieces in transit and in the
// stage.
func TestHoldsCorruptPiecesAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site, stages := newTestSite(2, 3)
		site.corrupt[3], site.corrupt[30] = true, true
		site.stageAll(t)
		checkStages(t, stages)
		stages[0].pieces[7] = []byte("rotten")
		delete(stages[0].pieces, 9)
		r := site.relays["10.0.0.0:80"]
		if _, err := r.Verify(t.Context(), relay.Bundle{Model: "m", Version: 2}); err != nil {
			t.Fatal(err)
		}
		checkStages(t, stages)
	})
}

// TestPiecesAreSharedEvenly checks that each engine is assigned about the same
// number of pieces to fetch into its failure domain.
func TestPiecesAreSharedEvenly(t *testing.T) {
	group := []string{"a", "b", "c", "d", "e", "f", "g"}
	count := map[string]int{}
	for n := range pieces {
		count[relay.Assigned(group, n)]++
	}
	for a, n := range count {
		if n < pieces/len(group) || n > pieces/len(group)+1 {
			t.Errorf("%s has %d pieces", a, n)
		}
	}
}

// TestConsecutiveLoadsChangeDomain checks that no two consecutive loads affect
// engines of the same failure domain.
func TestConsecutiveLoadsChangeDomain(t *testing.T) {
	targets := map[id.Target]discovery.Target{}
	order := make([]id.Domain, 9)
	for i := range 9 {
		a := fmt.Sprint(i)
		targets[id.Target(a)] = discovery.Target{Service: "s", Address: a, Domain: id.Domain(fmt.Sprint(i / 3))}
	}
	for _, o := range targets {
		at, n := rank(targets, "s", o.Address)
		if n != 9 {
			t.Fatalf("%d targets", n)
		}
		order[at] = o.Domain
	}
	for i := 1; i < len(order); i++ {
		if order[i] == order[i-1] {
			t.Errorf("order %v", order)
		}
	}
}

// TestHoldsCorruptManifestIsFetchedAgain corrupts a manifest in transit. No
// piece matches it, so that staging fails unless the manifest is fetched again.
func TestHoldsCorruptManifestIsFetchedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site, stages := newTestSite(1, 3)
		site.corruptManifests = 1
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		var wg sync.WaitGroup
		for _, r := range site.relays {
			wg.Go(func() {
				for ctx.Err() == nil && r.StageBundle(ctx, relay.Bundle{Model: "m", Version: 2}) != nil {
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
		wg.Wait()
		checkStages(t, stages)
	})
}

// TestHoldsSlowLinkIsShared stages a version over a saturated link. Pieces must
// be fetched one at a time, with equally long pauses in between, so that
// requests and their final events get through.
func TestHoldsSlowLinkIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site, _ := newTestSite(1, 2)
		const took = 320 * time.Millisecond
		var mu sync.Mutex
		busy, most := 0, 0
		var transferring time.Duration
		r := site.relays["10.0.0.0:80"]
		r.LinkDelay = func() time.Duration { return took }
		r.Peers = slowPeers{peers{site, "10.0.0.0:80"}, func() {
			mu.Lock()
			busy++
			most = max(most, busy)
			transferring += took
			mu.Unlock()
			time.Sleep(took)
			mu.Lock()
			busy--
			mu.Unlock()
		}}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		go func() { _ = site.relays["10.0.0.1:80"].StageBundle(ctx, relay.Bundle{Model: "m", Version: 2}) }()
		_ = r.StageBundle(ctx, relay.Bundle{Model: "m", Version: 2})
		if most != 1 || transferring > 5*time.Second+took {
			t.Errorf("%d concurrent transfers, transferring for %s of 10 s", most, transferring)
		}
	})
}

// slowPeers delays each piece by a call of transfer.
type slowPeers struct {
	peers
	transfer func()
}

func (p slowPeers) Piece(ctx context.Context, address string, b relay.Bundle, n int) ([]byte, error) {
	p.transfer()
	return p.peers.Piece(ctx, address, b, n)
}
