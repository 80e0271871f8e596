package bodylimit_test

import (
	"context"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/go-faster/errors"

	"egretproxy/internal/wire/bodylimit"
)

const longBody = 256 << 10

// stalled is a body that never ends and counts the bytes read from it.
type stalled struct {
	read *atomic.Int64
	left int
	end  chan struct{}
}

// Read implements io.Reader.
func (s *stalled) Read(p []byte) (int, error) {
	if s.left == 0 {
		<-s.end
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(p), s.left)
	s.left -= n
	s.read.Add(int64(n))
	return n, nil
}

// TestHoldsBudgetBoundsAllBodies guards against a process that runs out of memory
// because many targets send bodies without end at the same time, each within the limit
// of a body. Short bodies are read all the same, and long ones once there is room.
func TestHoldsBudgetBoundsAllBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bodies, limit = 300, 1 << 20
		b := bodylimit.Budget{Bytes: 4 << 20}
		var read atomic.Int64
		end := make(chan struct{})
		failed := make(chan error, bodies)
		for range bodies {
			go func() {
				_, release, err := b.ReadAll(t.Context(), &stalled{read: &read, left: limit / 2, end: end}, limit)
				release()
				failed <- err
			}()
		}
		synctest.Wait()
		const free = bodies * (64 << 10)
		if n := read.Load(); n > b.Bytes+free {
			t.Errorf("%d bodies take %d MiB", bodies, n>>20)
		}
		if data, _, err := b.ReadAll(t.Context(), strings.NewReader("short"), limit); err != nil || string(data) != "short" {
			t.Errorf("short body: %q, error %v", data, err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if _, _, err := b.ReadAll(ctx, strings.NewReader(strings.Repeat("x", longBody)), limit); !errors.Is(err, context.Canceled) {
			t.Errorf("long body without room: error %v", err)
		}
		if data, whole, _, err := b.ReadStart(strings.NewReader(strings.Repeat("x", longBody)), limit); err != nil || whole || len(data) == 0 {
			t.Errorf("start of a long body without room: %d bytes, whole %t, error %v", len(data), whole, err)
		}
		close(end)
		for range bodies {
			if err := <-failed; !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("body that breaks off: error %v", err)
			}
		}
		long := strings.Repeat("x", longBody)
		if data, release, err := b.ReadAll(t.Context(), strings.NewReader(long), limit); err != nil || string(data) != long {
			t.Errorf("long body: %d bytes, error %v", len(data), err)
		} else {
			release()
		}
		if data, whole, _, err := b.ReadStart(strings.NewReader(long), limit); err != nil || !whole || string(data) != long {
			t.Errorf("long body from the start: %d bytes, whole %t, error %v", len(data), whole, err)
		}
		if _, _, err := b.ReadAll(t.Context(), strings.NewReader(strings.Repeat("x", limit+1)), limit); !errors.Is(err, bodylimit.ErrTooLong) {
			t.Errorf("body beyond the limit: error %v", err)
		}
	})
}
