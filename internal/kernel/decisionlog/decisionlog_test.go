package decisionlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// blockedWriter blocks in Write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// TestHoldsLogNeverBlocks checks that a blocked output, such as a pipe that
// nobody reads, doesn't block callers, and that dropped lines are counted.
func TestHoldsLogNeverBlocks(t *testing.T) {
	blocked := blockedWriter{make(chan struct{})}
	writer := newAsyncWriter(blocked)
	done := make(chan struct{})
	go func() {
		for range 5 * maxBufferedLines {
			_, _ = writer.Write([]byte("line\n"))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("Write blocks while the output is blocked")
	}
	if writer.dropped.Load() == 0 {
		t.Error("dropped lines are not counted")
	}
	close(blocked.release)
}

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *lockedBuffer) contents() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.String()
}

// TestHoldsLastLineIsWritten guards against the loss of the line that a process
// logs right before it ends, which a batch had already taken from the buffer.
func TestHoldsLastLineIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b lockedBuffer
		writer := newAsyncWriter(&b)
		_, _ = writer.Write([]byte("last\n"))
		synctest.Wait()
		writer.flush()
		if got := b.contents(); got != "last\n" {
			t.Errorf("%q was written, not the last line", got)
		}
		time.Sleep(2 * batchInterval)
		close(writer.pending)
	})
}

// TestRateLimitsOfKindsAreIndependent writes far more lines than the limits
// allow. Successes must not use up the limit of failures, and the suppressed
// lines must be reported.
func TestRateLimitsOfKindsAreIndependent(t *testing.T) {
	var b lockedBuffer
	log := Open(&b)
	for range 1000 {
		log.Record(Usual, "success")
	}
	for range 1000 {
		log.Record(Failure, "failure")
	}
	log.mu.Lock()
	log.windowStart = time.Now().Add(-2 * time.Second)
	log.mu.Unlock()
	log.Record(Failure, "later")
	log.Close()
	time.Sleep(2 * batchInterval)
	log.Close()
	out := b.contents()
	if n := strings.Count(out, `"success"`); n > 2*linesPerSecond[Usual] {
		t.Errorf("%d lines about successes are outside the rate limit", n)
	}
	if n := strings.Count(out, `"failure"`); n < linesPerSecond[Failure] || n > 2*linesPerSecond[Failure] {
		t.Errorf("%d lines about failures are outside the rate limit", n)
	}
	if !strings.Contains(out, "exceeded the rate limit") {
		t.Error("suppressed lines are not reported")
	}
}
