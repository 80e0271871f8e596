// Package netsim simulates transfers over shared network links in virtual time.
// Each link divides its rate equally among the transfers that cross it, and a
// transfer proceeds at its smallest share along the path.
package netsim

import (
	"container/heap"
	"time"
)

// Link is a network link with a rate in bytes per second.
type Link struct {
	// Rate is zero while the link is stalled. Once transfers use the link, change
	// it with Simulator.SetRate only.
	Rate  float64
	flows map[*Flow]struct{}
	// BytesCarried is the number of bytes transferred so far.
	BytesCarried float64
}

// Flow is one transfer over a path of links.
type Flow struct {
	links      []*Link
	remaining  float64
	rate       float64
	updatedAt  time.Duration
	onDone     func()
	generation int
	ended      bool
}

// event is a function call or the end of a flow at a virtual time.
type event struct {
	at       time.Duration
	sequence int
	run      func()
	// flow is set for the end of a flow. The event is stale if the flow's
	// generation has changed since, because its rate changed.
	flow       *Flow
	generation int
}

// eventQueue is a heap ordered by time, then by order of insertion.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// Simulator runs events in virtual time. The zero value is ready to use and
// starts at time zero. It is not safe for concurrent use.
type Simulator struct {
	now      time.Duration
	queue    eventQueue
	sequence int
}

// Now returns the virtual time.
func (s *Simulator) Now() time.Duration { return s.now }

// After schedules a function to run after a delay.
func (s *Simulator) After(d time.Duration, run func()) {
	s.push(&event{at: s.now + d, run: run})
}

func (s *Simulator) push(e *event) {
	s.sequence++
	e.sequence = s.sequence
	heap.Push(&s.queue, e)
}

// Run runs events in order of time until none are left, the next one is after
// the limit, or stop returns true.
func (s *Simulator) Run(limit time.Duration, stop func() bool) {
	for len(s.queue) > 0 && !stop() {
		e := heap.Pop(&s.queue).(*event)
		if e.at > limit {
			return
		}
		s.now = e.at
		if e.flow != nil {
			if e.flow.generation == e.generation && !e.flow.ended {
				s.finishFlow(e.flow)
			}
			continue
		}
		e.run()
	}
}

// StartFlow starts a transfer over a path of links and calls onDone when it
// completes.
func (s *Simulator) StartFlow(bytes float64, path []*Link, onDone func()) *Flow {
	f := &Flow{links: path, remaining: bytes, updatedAt: s.now, onDone: onDone}
	for _, l := range path {
		if l.flows == nil {
			l.flows = map[*Flow]struct{}{}
		}
		l.flows[f] = struct{}{}
	}
	s.rescheduleNeighbours(f)
	return f
}

// StopFlow cancels a transfer. Its completion function is not called.
func (s *Simulator) StopFlow(f *Flow) {
	if f.ended {
		return
	}
	s.recordProgress(f)
	f.ended = true
	s.detach(f)
}

// SetRate changes the rate of a link, in bytes per second, and reschedules the
// transfers that cross it.
func (s *Simulator) SetRate(l *Link, rate float64) {
	l.Rate = rate
	for f := range l.flows {
		s.reschedule(f)
	}
}

func (s *Simulator) finishFlow(f *Flow) {
	s.recordProgress(f)
	f.ended = true
	s.detach(f)
	f.onDone()
}

// detach removes a flow from its links and reschedules the flows that it shared
// them with.
func (s *Simulator) detach(f *Flow) {
	for _, l := range f.links {
		delete(l.flows, f)
	}
	s.rescheduleNeighbours(f)
}

// rescheduleNeighbours recalculates the rates of all flows that share a link
// with f.
func (s *Simulator) rescheduleNeighbours(f *Flow) {
	for _, l := range f.links {
		for other := range l.flows {
			s.reschedule(other)
		}
	}
}

// recordProgress accounts for the bytes moved since the flow's last update.
func (s *Simulator) recordProgress(f *Flow) {
	moved := min(f.remaining, f.rate*(s.now-f.updatedAt).Seconds())
	f.remaining -= moved
	f.updatedAt = s.now
	for _, l := range f.links {
		l.BytesCarried += moved
	}
}

// reschedule sets a flow's rate to its smallest share along the path and, if the
// rate changed, schedules the flow's end again. A stalled flow has no end event.
func (s *Simulator) reschedule(f *Flow) {
	rate := -1.0
	for _, l := range f.links {
		if share := l.Rate / float64(len(l.flows)); rate < 0 || share < rate {
			rate = share
		}
	}
	if rate == f.rate && f.generation > 0 {
		return
	}
	s.recordProgress(f)
	f.rate = rate
	f.generation++
	if rate <= 0 {
		return
	}
	end := time.Duration(f.remaining / rate * float64(time.Second))
	s.push(&event{at: s.now + end, flow: f, generation: f.generation})
}
