package connpool

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"egretproxy/internal/kernel/socket"
)

// TestCancelTellsWhatTheTargetLacks checks that the error of a cancelled exchange
// tells whether the request was still on its way.
func TestCancelTellsWhatTheTargetLacks(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	for name, c := range map[string]struct {
		body    int
		unacked bool
	}{"arrived": {10, false}, "on its way": {16 << 20, true}} {
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			defer cancel()
			peer, err := l.Accept()
			if err != nil {
				return
			}
			for socket.Unread(socket.Raw(peer)) == 0 {
				time.Sleep(time.Millisecond)
			}
			// The rest fills the buffers on both sides meanwhile.
			time.Sleep(100 * time.Millisecond)
			t.Cleanup(func() { _ = peer.Close() })
		}()
		r := request("a1")
		r.Method, r.Body = "POST", make([]byte, c.body)
		_, err := (&Pool{}).Send(ctx, l.Addr().String(), buildFunc(r))
		if !errors.Is(err, ErrInterrupted) || Unacked(err) > 0 != c.unacked {
			t.Errorf("%s: error %v, %d bytes not acknowledged", name, err, Unacked(err))
		}
		cancel()
	}
}
