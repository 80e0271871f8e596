package decisionlog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBufferedLines is the capacity of the buffer. Further lines are dropped.
	maxBufferedLines = 2048
	// batchInterval is the time for which lines are collected for one write.
	batchInterval = 50 * time.Millisecond
)

// asyncWriter writes lines in the background, and drops lines when its buffer
// is full because the output is blocked. Lock order: writeMu, then mu.
type asyncWriter struct {
	w       io.Writer
	dropped atomic.Int64
	// pending is signalled when the buffer is no longer empty.
	pending chan struct{}

	// writeMu serialises writes to w.
	writeMu sync.Mutex

	// mu guards the buffer and is never held during a write to w.
	mu     sync.Mutex
	buffer []byte
	// lines is the number of lines in buffer, at most maxBufferedLines.
	lines int
}

func newAsyncWriter(w io.Writer) *asyncWriter {
	a := &asyncWriter{w: w, pending: make(chan struct{}, 1)}
	go a.run()
	return a
}

// Write implements io.Writer for one line. It never blocks and never returns an
// error.
func (a *asyncWriter) Write(p []byte) (int, error) {
	if !a.append(p) {
		a.dropped.Add(1)
		return len(p), nil
	}
	select {
	case a.pending <- struct{}{}:
	default:
	}
	return len(p), nil
}

func (a *asyncWriter) append(line []byte) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lines == maxBufferedLines {
		return false
	}
	a.buffer = append(a.buffer, line...)
	a.lines++
	return true
}

func (a *asyncWriter) run() {
	for range a.pending {
		time.Sleep(batchInterval)
		a.flush()
	}
}

// flush writes all buffered lines.
func (a *asyncWriter) flush() {
	a.writeMu.Lock()
	defer a.writeMu.Unlock()
	a.mu.Lock()
	batch := a.buffer
	a.buffer, a.lines = nil, 0
	a.mu.Unlock()
	if len(batch) > 0 {
		// A failure of the log output can't be logged.
		_, _ = a.w.Write(batch)
	}
}
