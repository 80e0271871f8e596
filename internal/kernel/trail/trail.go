// Package trail writes the log of decisions: JSON lines of bounded volume
// that never block the caller.
package trail

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
	kinds
)

// budgets is the lines in a second of each kind. Failures go before
// successes, as they are what is looked for afterwards.
var budgets = [kinds]int{4, 10, 30}

var names = [kinds]string{"Usual", "Notable", "Failure"}

// Trail is the log of one process. The zero value drops everything.
type Trail struct {
	out *outlet
	log *slog.Logger

	mu sync.Mutex
	// second is the start of the second that spent counts for.
	second time.Time
	spent  [kinds]int
	left   [kinds]int
}

// Open starts the log on the writer and sends klog there as well. Each line
// bears the attributes, names and values by turns.
func Open(w io.Writer, attributes ...any) *Trail {
	o := newOutlet(w)
	log := slog.New(slog.NewJSONHandler(o, &slog.HandlerOptions{Level: slog.LevelInfo})).With(attributes...)
	klog.SetSlogLogger(log)
	var flags flag.FlagSet
	klog.InitFlags(&flags)
	return &Trail{out: o, log: log}
}

// Note writes one decision, unless the budget of its kind is spent.
func (t *Trail) Note(k Kind, msg string, args ...any) {
	if t == nil || t.log == nil || !t.allowed(k) {
		return
	}
	t.log.Info(msg, args...)
}

func (t *Trail) allowed(k Kind) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if now.Sub(t.second) >= time.Second {
		t.report()
		t.second = now
		t.spent = [kinds]int{}
	}
	if t.spent[k] >= budgets[k] {
		t.left[k]++
		return false
	}
	t.spent[k]++
	return true
}

// report writes how many lines were left out since the last time. It runs
// under mu.
func (t *Trail) report() {
	dropped := t.out.dropped.Swap(0)
	for k, n := range t.left {
		if n > 0 {
			t.log.Info("Log lines were left out", "Kind", names[k], "Count", n)
		}
	}
	if dropped > 0 {
		t.log.Info("Log lines were dropped, the log is not read", "Count", dropped)
	}
	t.left = [kinds]int{}
}

// Close writes what waits.
func (t *Trail) Close() {
	if t != nil && t.out != nil {
		t.out.flush()
	}
}
