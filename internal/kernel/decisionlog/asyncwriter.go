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
// is full because the output is blocked.
type asyncWriter struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64

	// mu serialises writes to w.
	mu sync.Mutex
}

func newAsyncWriter(w io.Writer) *asyncWriter {
	a := &asyncWriter{w: w, lines: make(chan []byte, maxBufferedLines)}
	go a.run()
	return a
}

// Write implements io.Writer for one line. It never blocks and never returns an
// error.
func (a *asyncWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case a.lines <- line:
	default:
		a.dropped.Add(1)
	}
	return len(p), nil
}

func (a *asyncWriter) run() {
	for line := range a.lines {
		time.Sleep(batchInterval)
		a.mu.Lock()
		a.writeBuffered(line)
		a.mu.Unlock()
	}
}

// writeBuffered writes the line and all buffered lines. The caller holds mu.
func (a *asyncWriter) writeBuffered(line []byte) {
	for {
		select {
		case next := <-a.lines:
			line = append(line, next...)
			continue
		default:
		}
		// A failure of the log output can't be logged.
		_, _ = a.w.Write(line)
		return
	}
}

// flush writes the buffered lines before the process ends.
func (a *asyncWriter) flush() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writeBuffered(nil)
}
