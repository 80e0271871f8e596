package decisionlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter is a writer whose reader stands still.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestHoldsLogNeverBlocks stops the reader of the log: callers go on, and the
// dropped lines are counted.
func TestHoldsLogNeverBlocks(t *testing.T) {
	s := blockedWriter{make(chan struct{})}
	o := newAsyncWriter(s)
	done := make(chan struct{})
	go func() {
		for range 5 * maxBufferedLines {
			_, _ = o.Write([]byte("line\n"))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("writing blocks")
	}
	if o.dropped.Load() == 0 {
		t.Error("dropped lines are not counted")
	}
	close(s.release)
}

// lockedBuffer is a writer that tests read.
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

// TestBudgetsBoundTheLog writes far more than the budgets: failures keep
// theirs whatever the successes are, and what is left out is counted.
func TestBudgetsBoundTheLog(t *testing.T) {
	var b lockedBuffer
	tr := Open(&b)
	for range 1000 {
		tr.Record(Usual, "success")
	}
	for range 1000 {
		tr.Record(Failure, "failure")
	}
	tr.mu.Lock()
	tr.windowStart = time.Now().Add(-2 * time.Second)
	tr.mu.Unlock()
	tr.Record(Failure, "later")
	tr.Close()
	time.Sleep(2 * batchInterval)
	tr.Close()
	out := b.contents()
	if n := strings.Count(out, `"success"`); n > 2*linesPerSecond[Usual] {
		t.Errorf("%d successes", n)
	}
	if n := strings.Count(out, `"failure"`); n < linesPerSecond[Failure] || n > 2*linesPerSecond[Failure] {
		t.Errorf("%d failures", n)
	}
	if !strings.Contains(out, "left out") {
		t.Error("what was left out is not counted")
	}
}
