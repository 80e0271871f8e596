package peerhttp

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"egretproxy/internal/weights/relay"
)

const (
	// endlessBytes is what an endless peer sends at most. A reader without a
	// limit takes all of it.
	endlessBytes = 96 << 20
	// kernelBytes bounds what may be in the buffers of a closed connection.
	kernelBytes = 24 << 20
	hangGuard   = 30 * time.Second
)

// calls are all calls to a peer.
var calls = map[string]func(ctx context.Context, c *Client, address string) error{
	"manifest": func(ctx context.Context, c *Client, address string) error {
		_, err := c.Manifest(ctx, address, relay.Bundle{Model: "m", Version: 1})
		return err
	},
	"piece": func(ctx context.Context, c *Client, address string) error {
		_, err := c.Piece(ctx, address, relay.Bundle{Model: "m", Version: 1}, 0)
		return err
	},
	"await": func(ctx context.Context, c *Client, address string) error {
		return c.Await(ctx, address, relay.Bundle{Model: "m", Version: 1}, 0)
	},
}

func callPeer(t *testing.T, name string, handler http.HandlerFunc) error {
	t.Helper()
	s := httptest.NewServer(handler)
	defer s.Close()
	address := strings.TrimPrefix(s.URL, "http://")
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), hangGuard)
	defer cancel()
	return calls[name](ctx, NewClient(port, func() int64 { return 1 << 20 }), address)
}

// TestHoldsEndlessPeerIsNotBelieved guards against peers that send a body
// without end: it took 64 MiB of memory, counted as a whole piece, and as the
// statement that the peer holds one.
func TestHoldsEndlessPeerIsNotBelieved(t *testing.T) {
	for name := range calls {
		var sent atomic.Int64
		err := callPeer(t, name, func(w http.ResponseWriter, _ *http.Request) {
			block := make([]byte, 64<<10)
			for sent.Load() < endlessBytes {
				n, err := w.Write(block)
				if err != nil {
					return
				}
				sent.Add(int64(n))
			}
		})
		if err == nil {
			t.Errorf("%s: a body without end was taken", name)
		}
		if n := sent.Load(); n > kernelBytes {
			t.Errorf("%s: read about %d MiB", name, n>>20)
		}
	}
}

// TestHoldsLongPeerHeaderIsNotTaken guards against responses whose header takes
// 10 MB of memory, the limit of net/http.
func TestHoldsLongPeerHeaderIsNotTaken(t *testing.T) {
	for name := range calls {
		err := callPeer(t, name, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X", strings.Repeat("x", 1<<20))
		})
		if err == nil || !strings.Contains(err.Error(), "header") {
			t.Errorf("%s: error %v, want one about the header", name, err)
		}
	}
}
