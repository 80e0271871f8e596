// Package netsim is a fake of links that transfers share, in virtual time. A
// transfer gets, on each link it crosses, an equal part of the rate, and goes
// at the least of them.
package netsim

import (
	"container/heap"
	"time"
)

// Link is a link with a rate in bytes a second.
type Link struct {
	// Rate is zero while the link stands still.
	Rate  float64
	flows map[*Flow]struct{}
	// BytesCarried is the bytes carried so far.
	BytesCarried float64
}

// Flow is one transfer.
type Flow struct {
	links      []*Link
	remaining  float64
	rate       float64
	updatedAt  time.Duration
	onDone     func()
	generation int
	ended      bool
}

// event is something that happens at a time.
type event struct {
	at       time.Duration
	sequence int
	run      func()
	// flow and number guard the end of a flow against changes of its rate.
	flow       *Flow
	generation int
}

type eventQueue []*event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(*event)) }
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// Simulator runs events in virtual time. The zero value starts at zero.
type Simulator struct {
	now      time.Duration
	queue    eventQueue
	sequence int
}

// Now returns the virtual time.
func (c *Simulator) Now() time.Duration { return c.now }

// After runs a function after a delay.
func (c *Simulator) After(d time.Duration, run func()) {
	c.push(&event{at: c.now + d, run: run})
}

func (c *Simulator) push(e *event) {
	c.sequence++
	e.sequence = c.sequence
	heap.Push(&c.queue, e)
}

// Run runs events until there are none, the limit is reached or stop reports
// true.
func (c *Simulator) Run(limit time.Duration, stop func() bool) {
	for len(c.queue) > 0 && !stop() {
		e := heap.Pop(&c.queue).(*event)
		if e.at > limit {
			return
		}
		c.now = e.at
		if e.flow != nil {
			if e.flow.generation == e.generation && !e.flow.ended {
				c.finishFlow(e.flow)
			}
			continue
		}
		e.run()
	}
}

// StartFlow begins a transfer over the links and calls done at its end.
func (c *Simulator) StartFlow(bytes float64, over []*Link, done func()) *Flow {
	f := &Flow{links: over, remaining: bytes, updatedAt: c.now, onDone: done}
	for _, l := range over {
		if l.flows == nil {
			l.flows = map[*Flow]struct{}{}
		}
		l.flows[f] = struct{}{}
	}
	c.rescheduleNeighbours(f)
	return f
}

// StopFlow ends a transfer before its time.
func (c *Simulator) StopFlow(f *Flow) {
	if f.ended {
		return
	}
	c.recordProgress(f)
	f.ended = true
	c.detach(f)
}

// SetRate changes the rate of a link.
func (c *Simulator) SetRate(l *Link, rate float64) {
	l.Rate = rate
	for f := range l.flows {
		c.reschedule(f)
	}
}

func (c *Simulator) finishFlow(f *Flow) {
	c.recordProgress(f)
	f.ended = true
	c.detach(f)
	f.onDone()
}

func (c *Simulator) detach(f *Flow) {
	for _, l := range f.links {
		delete(l.flows, f)
	}
	c.rescheduleNeighbours(f)
}

// rescheduleNeighbours works out anew the rates of all transfers on a transfer's links.
func (c *Simulator) rescheduleNeighbours(f *Flow) {
	for _, l := range f.links {
		for o := range l.flows {
			c.reschedule(o)
		}
	}
}

func (c *Simulator) recordProgress(f *Flow) {
	moved := min(f.remaining, f.rate*(c.now-f.updatedAt).Seconds())
	f.remaining -= moved
	f.updatedAt = c.now
	for _, l := range f.links {
		l.BytesCarried += moved
	}
}

func (c *Simulator) reschedule(f *Flow) {
	rate := -1.0
	for _, l := range f.links {
		if r := l.Rate / float64(len(l.flows)); rate < 0 || r < rate {
			rate = r
		}
	}
	if rate == f.rate && f.generation > 0 {
		return
	}
	c.recordProgress(f)
	f.rate = rate
	f.generation++
	if rate <= 0 {
		return
	}
	end := time.Duration(f.remaining / rate * float64(time.Second))
	c.push(&event{at: c.now + end, flow: f, generation: f.generation})
}
