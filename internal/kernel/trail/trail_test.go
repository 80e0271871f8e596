package trail

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// stuck is a writer whose reader stands still.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestHoldsLogNeverBlocks stops the reader of the log: callers go on, and the
// dropped lines are counted.
func TestHoldsLogNeverBlocks(t *testing.T) {
	s := stuck{make(chan struct{})}
	o := newOutlet(s)
	done := make(chan struct{})
	go func() {
		for range 5 * outletLines {
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

// buffer is a writer that tests read.
type buffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *buffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.String()
}

// TestBudgetsBoundTheLog writes far more than the budgets: failures keep
// theirs whatever the successes are, and what is left out is counted.
func TestBudgetsBoundTheLog(t *testing.T) {
	var b buffer
	tr := Open(&b)
	for range 1000 {
		tr.Note(Usual, "success")
	}
	for range 1000 {
		tr.Note(Failure, "failure")
	}
	tr.mu.Lock()
	tr.second = time.Now().Add(-2 * time.Second)
	tr.mu.Unlock()
	tr.Note(Failure, "later")
	tr.Close()
	time.Sleep(2 * gatherFor)
	tr.Close()
	out := b.text()
	if n := strings.Count(out, `"success"`); n > 2*budgets[Usual] {
		t.Errorf("%d successes", n)
	}
	if n := strings.Count(out, `"failure"`); n < budgets[Failure] || n > 2*budgets[Failure] {
		t.Errorf("%d failures", n)
	}
	if !strings.Contains(out, "left out") {
		t.Error("what was left out is not counted")
	}
}
