package siteagent

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"
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

// testSite is engines in failure domains that pass weights on in memory.
type testSite struct {
	relays map[string]*relay.Relay
	domain map[string]id.Domain

	mu sync.Mutex
	// originPieces counts pieces from the origin, crossed those between domains.
	originPieces, crossDomainPieces int
	// originDownUntil is when the origin answers again.
	originDownUntil time.Time
	// corruptManifests is how many of the next manifests arrive spoilt.
	corruptManifests int
	// truncated is the versions of which the origin gives the first piece only.
	truncated map[int64]bool
	// missing is the versions that the origin can't give.
	missing map[int64]bool
	// uploads counts the pieces that each engine's process sent.
	uploads map[string]int
	view    *siteclient.View
	// corrupt is the pieces that arrive spoilt once.
	corrupt map[int]bool
}

func (w *testSite) Manifest(_ context.Context, b relay.Bundle) (relay.Manifest, error) {
	if err := w.unavailable(b); err != nil {
		return relay.Manifest{}, err
	}
	w.mu.Lock()
	spoilt := w.corruptManifests > 0
	w.corruptManifests--
	w.mu.Unlock()
	var m relay.Manifest
	for n := range pieces {
		sum := sha256.Sum256(piece(n))
		if spoilt && n > 0 {
			sum[0] ^= 1
		}
		m.Digests = append(m.Digests, hex.EncodeToString(sum[:]))
	}
	return m, nil
}

func (w *testSite) unavailable(b relay.Bundle) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(w.originDownUntil) || w.missing[b.Version] {
		return errors.New("connection refused")
	}
	return nil
}

func (w *testSite) Piece(_ context.Context, b relay.Bundle, n int) ([]byte, error) {
	if err := w.unavailable(b); err != nil {
		return nil, err
	}
	if w.truncated[b.Version] && n > 0 {
		return nil, errors.New("origin breaks off")
	}
	time.Sleep(20 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.originPieces++
	if w.corrupt[n] {
		delete(w.corrupt, n)
		return []byte("spoilt"), nil
	}
	return piece(n), nil
}

// peers asks the other relays of the world on behalf of one engine.
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

// fixedView is a Follower with one view for all.
type fixedView struct{ view *siteclient.View }

func (v fixedView) View() *siteclient.View { return v.view }

func newTestSite(domains, each int) (*testSite, []*stage) {
	w := &testSite{relays: map[string]*relay.Relay{}, domain: map[string]id.Domain{}, corrupt: map[int]bool{}, missing: map[int64]bool{}, truncated: map[int64]bool{}, uploads: map[string]int{}}
	v := &siteclient.View{
		Plan: &plan.Plan{Services: map[id.Service]*plan.Service{
			"llm": {Name: "llm", Engine: &plan.Engine{Model: "m"}}, "origin": {Name: "origin", Origin: "o", Domain: "d0"},
		}},
		Targets: map[id.Target]discovery.Target{},
	}
	w.view = v
	var stages []*stage
	for d := range domains {
		for e := range each {
			address := fmt.Sprintf("10.%d.0.%d:80", d, e)
			domain := id.Domain(fmt.Sprintf("d%d", d))
			s := &stage{pieces: map[int][]byte{}}
			stages = append(stages, s)
			t := &Agent{Settings: Settings{Service: "llm", Address: address, Domain: domain, Region: id.Region(domain)}, Views: fixedView{v}}
			w.domain[address] = domain
			w.relays[address] = &relay.Relay{Origin: w, Peers: peers{w, address}, Stage: s, Routes: t.Routes, Priority: t.Priority}
			k := id.Target(address)
			v.Targets[k] = discovery.Target{ID: k, Service: "llm", Address: address, Domain: domain}
		}
	}
	return w, stages
}

func (w *testSite) stageAll(t *testing.T) time.Duration {
	began := time.Now()
	var wg sync.WaitGroup
	for address, r := range w.relays {
		if w.view.Keepers[address] != "" {
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

// TestHoldsOneCopyFromTheOrigin brings a version to 24 engines in three
// domains. Every piece leaves the origin once and enters each further domain
// once.
func TestHoldsOneCopyFromTheOrigin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, stages := newTestSite(3, 8)
		took := w.stageAll(t)
		checkStages(t, stages)
		if w.originPieces != pieces || w.crossDomainPieces != 2*pieces {
			t.Errorf("%d pieces drawn, %d crossed", w.originPieces, w.crossDomainPieces)
		}
		if took > 3*time.Second {
			t.Errorf("took %s", took)
		}
	})
}

// TestOriginRecoveryCausesNoBurst plays an origin that is away for six seconds
// while all engines want a version: afterwards it is drawn from once, not by
// every engine that waited.
func TestOriginRecoveryCausesNoBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, stages := newTestSite(3, 5)
		w.originDownUntil = time.Now().Add(6 * time.Second)
		took := w.stageAll(t)
		checkStages(t, stages)
		if w.originPieces > pieces+pieces/4 {
			t.Errorf("%d pieces drawn, %d wanted", w.originPieces, pieces)
		}
		if took > 12*time.Second {
			t.Errorf("took %s", took)
		}
	})
}

// TestHoldsCorruptPiecesAreReplaced spoils pieces on their way and at rest.
func TestHoldsCorruptPiecesAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, stages := newTestSite(2, 3)
		w.corrupt[3], w.corrupt[30] = true, true
		w.stageAll(t)
		checkStages(t, stages)
		stages[0].pieces[7] = []byte("rotten")
		delete(stages[0].pieces, 9)
		r := w.relays["10.0.0.0:80"]
		if err := r.Verify(t.Context(), relay.Bundle{Model: "m", Version: 2}); err != nil {
			t.Fatal(err)
		}
		checkStages(t, stages)
	})
}

// TestPiecesAreSharedEvenly counts for how many pieces each engine is the one
// that brings them into its domain.
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

// TestConsecutiveLoadsChangeDomain checks that engines of one domain don't load one
// right after the other.
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

// TestHoldsCorruptManifestIsFetchedAgain plays an origin that spoils a manifest on
// its way: its pieces match nothing until it is read again.
func TestHoldsCorruptManifestIsFetchedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, stages := newTestSite(1, 3)
		w.corruptManifests = 1
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		var wg sync.WaitGroup
		for _, r := range w.relays {
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

// TestHoldsSlowLinkIsShared plays an instance whose link is narrowed while a
// version spreads: pieces come one at a time, with as long a pause after each,
// so that requests and their ends get through.
func TestHoldsSlowLinkIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, _ := newTestSite(1, 2)
		const took = 320 * time.Millisecond
		var mu sync.Mutex
		busy, most := 0, 0
		var transferring time.Duration
		r := w.relays["10.0.0.0:80"]
		r.LinkDelay = func() time.Duration { return took }
		r.Peers = slowPeers{peers{w, "10.0.0.0:80"}, func() {
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
		go func() { _ = w.relays["10.0.0.1:80"].StageBundle(ctx, relay.Bundle{Model: "m", Version: 2}) }()
		_ = r.StageBundle(ctx, relay.Bundle{Model: "m", Version: 2})
		if most != 1 || transferring > 5*time.Second+took {
			t.Errorf("%d transfers at once, %s of 10 s taken", most, transferring)
		}
	})
}

// slowPeers takes a while for each piece.
type slowPeers struct {
	peers
	transfer func()
}

func (p slowPeers) Piece(ctx context.Context, address string, b relay.Bundle, n int) ([]byte, error) {
	p.transfer()
	return p.peers.Piece(ctx, address, b, n)
}
