// Package witness collects what an entry learns about the parts of prompts, and about
// whole requests: the responses that began on them, and the targets that ended before.
package witness

import (
	"slices"
	"sync"
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/wakeup"
	"egretproxy/internal/request/digest"
	"egretproxy/internal/request/ends"
	"egretproxy/internal/request/recent"
	"egretproxy/internal/site/evidence"
	"egretproxy/internal/site/quarantine"
)

const (
	// maxParts limits the parts whose responses are remembered.
	maxParts = 4096
	// maxPartsPerReport limits a report. The rest is dropped.
	maxPartsPerReport = 256
)

// Witness is the memory of one entry. It is safe for concurrent use. The zero
// value is empty.
type Witness struct {
	// mu is locked before the mutex of ended.
	mu sync.Mutex
	// parts holds the parts on which responses began, harmless those that responses
	// showed to be harmless, requests the digests of the requests whose responses came
	// to their end, ended those of the requests under which targets ended since.
	parts, harmless, requests recent.Memory
	ended                     ends.Memory
	// suspects holds the time of the first end with each suspect.
	suspects map[id.PromptPart]time.Time
	accused  map[id.PromptPart]bool
	pending  evidence.Report
	// endedAt, begunAt and aliveAt are the times of the ends, the responses and the
	// signs of life in pending.
	endedAt, begunAt, aliveAt []time.Time
	size                      int
	// changed is sent when there is something to report.
	changed wakeup.Signal
}

// Begun records that a response began on the parts. Its target may still end with one.
func (w *Witness) Begun(parts []id.PromptPart) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addBegunParts(&w.parts, parts, false)
}

// Harmless records that a response showed the parts to end no target: it came to its
// end, or has gone on for some time.
func (w *Witness) Harmless(parts []id.PromptPart) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addBegunParts(&w.harmless, parts, true)
}

// addBegunParts requires mu.
func (w *Witness) addBegunParts(memory *recent.Memory, parts []id.PromptPart, harmless bool) {
	now := time.Now()
	for _, p := range parts {
		memory.Use(p, maxParts).At = now
		if w.isOfInterest(p, now) {
			w.addBegun(p, now, harmless)
		}
	}
}

// isOfInterest reports whether keepers want to know of a response on p. The caller
// holds mu.
func (w *Witness) isOfInterest(p id.PromptPart, now time.Time) bool {
	since, suspect := w.suspects[p]
	return suspect && now.After(since) || w.accused[p]
}

// addBegun adds to the report. The caller holds mu.
func (w *Witness) addBegun(p id.PromptPart, at time.Time, harmless bool) {
	same := func(b evidence.Begun) bool { return b.Part == p && b.Harmless == harmless }
	if i := slices.IndexFunc(w.pending.Begun, same); i >= 0 {
		w.begunAt[i] = at
		return
	}
	if w.size < maxPartsPerReport {
		w.size++
		w.pending.Begun = append(w.pending.Begun, evidence.Begun{Part: p, Harmless: harmless})
		w.begunAt = append(w.begunAt, at)
		w.changed.Send()
	}
}

// Known reports whether responses were seen to begin on all of the parts.
func (w *Witness) Known(parts []id.PromptPart) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !slices.ContainsFunc(parts, func(p id.PromptPart) bool { return w.parts.Get(p) == nil })
}

// Suspected reports whether one of the parts is a suspect on which no response
// was seen to begin since.
func (w *Witness) Suspected(parts []id.PromptPart) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(parts, func(p id.PromptPart) bool {
		since, suspect := w.suspects[p]
		if !suspect {
			return false
		}
		begun, harmless := w.responses(p)
		return !begun.After(since) && !harmless.After(since)
	})
}

// responses returns when the last response on p began, and when one last showed that it
// is harmless. The caller holds mu.
func (w *Witness) responses(p id.PromptPart) (begun, harmless time.Time) {
	if digest.IsDigest(p) {
		return lastAt(&w.requests, p), time.Time{}
	}
	return lastAt(&w.parts, p), lastAt(&w.harmless, p)
}

func lastAt(m *recent.Memory, p id.PromptPart) time.Time {
	if r := m.Get(p); r != nil {
		return r.At
	}
	return time.Time{}
}

// Ended records that a target ended before the response to a request with the
// parts began.
func (w *Witness) Ended(target id.Target, born int64, parts []id.PromptPart) {
	if len(parts) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.pendingEnd(target, born)
	if e == nil {
		return
	}
	for _, p := range parts {
		if w.size >= maxPartsPerReport || slices.Contains(e.Fresh, p) || slices.Contains(e.Known, p) {
			continue
		}
		w.size++
		if w.parts.Get(p) == nil {
			e.Fresh = append(e.Fresh, p)
		} else {
			e.Known = append(e.Known, p)
		}
	}
	w.changed.Send()
}

// EndedBegun records that a target ended after the response to a request with the parts
// began, and before it showed them to be harmless.
func (w *Witness) EndedBegun(target id.Target, born int64, parts []id.PromptPart) {
	if len(parts) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.pendingEnd(target, born)
	if e == nil {
		return
	}
	for _, p := range parts {
		if w.size < maxPartsPerReport && !slices.Contains(e.Begun, p) {
			w.size++
			e.Begun = append(e.Begun, p)
		}
	}
	w.changed.Send()
}

// pendingEnd returns the end of the incarnation in the report, or nil if the report is
// full. The caller holds mu.
func (w *Witness) pendingEnd(target id.Target, born int64) *evidence.End {
	same := func(e evidence.End) bool { return e.Target == target && e.Born == born }
	i := slices.IndexFunc(w.pending.Ends, same)
	if i < 0 && w.size >= maxPartsPerReport {
		return nil
	}
	if i < 0 {
		i = len(w.pending.Ends)
		w.pending.Ends = append(w.pending.Ends, evidence.End{Target: target, Born: born})
		w.endedAt = append(w.endedAt, time.Now())
	}
	return &w.pending.Ends[i]
}

// SetSuspects replaces the suspects and reports the responses that began on them
// after the first end.
func (w *Witness) SetSuspects(suspects map[id.PromptPart]time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for p, since := range suspects {
		begun, harmless := w.responses(p)
		if begun.After(since) {
			w.addBegun(p, begun, false)
		}
		if harmless.After(since) {
			w.addBegun(p, harmless, true)
		}
	}
	w.suspects = suspects
}

// SetVerdicts replaces the verdicts in force. It clears the requests that are in none
// any more: a response to them came to its end elsewhere, or an operator lifted it.
func (w *Witness) SetVerdicts(verdicts []quarantine.Verdict) {
	w.mu.Lock()
	defer w.mu.Unlock()
	accused := quarantine.Parts(verdicts)
	for p := range w.accused {
		if digest.IsDigest(p) && !accused[p] {
			w.ended.Served(p)
		}
	}
	w.accused = accused
}

// Take returns what was not reported yet, and a channel that is closed when
// there is more.
func (w *Witness) Take() (evidence.Report, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := w.pending
	for i, at := range w.endedAt {
		out.Ends[i].AgeMs = time.Since(at).Milliseconds()
	}
	for i, at := range w.begunAt {
		out.Begun[i].AgeMs = time.Since(at).Milliseconds()
	}
	for i, at := range w.aliveAt {
		out.Alive[i].AgeMs = time.Since(at).Milliseconds()
	}
	w.pending, w.endedAt, w.begunAt, w.aliveAt, w.size = evidence.Report{}, nil, nil, nil, 0
	return out, w.changed.Next()
}
