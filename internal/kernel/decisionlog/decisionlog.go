// Package decisionlog writes the log of decisions: JSON lines of bounded volume
// that never block the caller.
package decisionlog

import (
	"flag"
	"io"
	"log/slog"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// Kind is a class of decisions with a budget of its own.
type Kind uint8

// Kinds of decisions, in the order of their budgets.
const (
	// Usual decisions went well.
	Usual Kind = iota
	// Notable decisions are retries, resumptions and waits.
	Notable
	// Failure decisions end a request without an answer of a target.
	Failure
	kindCount
)

// linesPerSecond is the lines in a second of each kind. Failures go before
// successes, as they are what is looked for afterwards.
var linesPerSecond = [kindCount]int{4, 10, 30}

var kindNames = [kindCount]string{"Usual", "Notable", "Failure"}

// Log is the log of one process. The zero value drops everything.
type Log struct {
	writer *asyncWriter
	logger *slog.Logger

	mu sync.Mutex
	// windowStart is the start of the windowStart that spent counts for.
	windowStart time.Time
	written     [kindCount]int
	suppressed  [kindCount]int
}

// Open starts the log on the writer and sends klog there as well. Each line
// bears the attributes, names and values by turns.
func Open(w io.Writer, attributes ...any) *Log {
	o := newAsyncWriter(w)
	log := slog.New(slog.NewJSONHandler(o, &slog.HandlerOptions{Level: slog.LevelInfo})).With(attributes...)
	klog.SetSlogLogger(log)
	var flags flag.FlagSet
	klog.InitFlags(&flags)
	return &Log{writer: o, logger: log}
}

// Record writes one decision, unless the budget of its kind is spent.
func (t *Log) Record(k Kind, msg string, args ...any) {
	if t == nil || t.logger == nil || !t.allow(k) {
		return
	}
	t.logger.Info(msg, args...)
}

func (t *Log) allow(k Kind) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if now.Sub(t.windowStart) >= time.Second {
		t.reportLost()
		t.windowStart = now
		t.written = [kindCount]int{}
	}
	if t.written[k] >= linesPerSecond[k] {
		t.suppressed[k]++
		return false
	}
	t.written[k]++
	return true
}

// reportLost writes how many lines were left out since the last time. It runs
// under mu.
func (t *Log) reportLost() {
	dropped := t.writer.dropped.Swap(0)
	for k, n := range t.suppressed {
		if n > 0 {
			t.logger.Info("Log lines were left out", "Kind", kindNames[k], "Count", n)
		}
	}
	if dropped > 0 {
		t.logger.Info("Log lines were dropped, the log is not read", "Count", dropped)
	}
	t.suppressed = [kindCount]int{}
}

// Close writes what waits.
func (t *Log) Close() {
	if t != nil && t.writer != nil {
		t.writer.flush()
	}
}
