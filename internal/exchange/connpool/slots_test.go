package connpool

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestPoolKeepsToItsLimit has more exchanges at once than connections, at two targets in
// turn, so that idle connections to the other one give way.
func TestPoolKeepsToItsLimit(t *testing.T) {
	const limit, exchanges = 4, 64
	p := &Pool{Limit: limit}
	script := func(int32, *http.Request) string { time.Sleep(time.Millisecond); return completeResponse }
	targets := []*target{newTarget(t, script), newTarget(t, script)}
	var all sync.WaitGroup
	for i := range exchanges {
		all.Go(func() {
			if _, err := send(t, p, targets[i%2].Addr().String()); err != nil {
				t.Errorf("exchange %d: %v", i, err)
			}
		})
	}
	open := func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.open
	}
	ended := make(chan struct{})
	go func() { all.Wait(); close(ended) }()
	for done := false; !done; {
		select {
		case <-ended:
			done = true
		case <-time.After(time.Millisecond):
		}
		if n := open(); n > limit {
			t.Fatalf("%d connections are open, want at most %d", n, limit)
		}
	}
	for _, s := range targets {
		p.CloseIdle(s.Addr().String())
	}
	if n := open(); n != 0 {
		t.Errorf("%d connections count as open after all were closed", n)
	}
}

// TestNoFreeConnectionMeansNotSent has an exchange that holds the only connection.
func TestNoFreeConnectionMeansNotSent(t *testing.T) {
	release := make(chan struct{})
	s := newTarget(t, func(n int32, _ *http.Request) string {
		if n == 1 {
			<-release
		}
		return completeResponse
	})
	p := &Pool{Limit: 1}
	first := make(chan error)
	go func() {
		_, err := send(t, p, s.Addr().String())
		first <- err
	}()
	for s.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	if _, err := send(t, p, s.Addr().String()); !errors.Is(err, ErrCancelled) {
		t.Errorf("an exchange without a connection: %v, want ErrCancelled", err)
	}
	if n := s.requests.Load(); n != 1 {
		t.Errorf("%d requests were sent, want 1", n)
	}
	close(release)
	if err := <-first; err != nil {
		t.Error(err)
	}
	if _, err := send(t, p, s.Addr().String()); err != nil {
		t.Error(fmt.Errorf("an exchange afterwards: %w", err))
	}
}
