// Package links is a fake of links that transfers share, in virtual time. A
// transfer gets, on each link it crosses, an equal part of the rate, and goes
// at the least of them.
package links

import (
	"container/heap"
	"time"
)

// Link is a link with a rate in bytes a second.
type Link struct {
	// Rate is zero while the link stands still.
	Rate  float64
	flows map[*Flow]struct{}
	// Carried is the bytes carried so far.
	Carried float64
}

// Flow is one transfer.
type Flow struct {
	links  []*Link
	left   float64
	rate   float64
	since  time.Duration
	done   func()
	number int
	ended  bool
}

// event is something that happens at a time.
type event struct {
	at       time.Duration
	sequence int
	run      func()
	// flow and number guard the end of a flow against changes of its rate.
	flow   *Flow
	number int
}

type events []*event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(*event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// Clock runs events in virtual time. The zero value starts at zero.
type Clock struct {
	now      time.Duration
	queue    events
	sequence int
}

// Now returns the virtual time.
func (c *Clock) Now() time.Duration { return c.now }

// After runs a function after a delay.
func (c *Clock) After(d time.Duration, run func()) {
	c.push(&event{at: c.now + d, run: run})
}

func (c *Clock) push(e *event) {
	c.sequence++
	e.sequence = c.sequence
	heap.Push(&c.queue, e)
}

// Run runs events until there are none, the limit is reached or stop reports
// true.
func (c *Clock) Run(limit time.Duration, stop func() bool) {
	for len(c.queue) > 0 && !stop() {
		e := heap.Pop(&c.queue).(*event)
		if e.at > limit {
			return
		}
		c.now = e.at
		if e.flow != nil {
			if e.flow.number == e.number && !e.flow.ended {
				c.finish(e.flow)
			}
			continue
		}
		e.run()
	}
}

// Start begins a transfer over the links and calls done at its end.
func (c *Clock) Start(bytes float64, over []*Link, done func()) *Flow {
	f := &Flow{links: over, left: bytes, since: c.now, done: done}
	for _, l := range over {
		if l.flows == nil {
			l.flows = map[*Flow]struct{}{}
		}
		l.flows[f] = struct{}{}
	}
	c.adjust(f)
	return f
}

// Stop ends a transfer before its time.
func (c *Clock) Stop(f *Flow) {
	if f.ended {
		return
	}
	c.progress(f)
	f.ended = true
	c.leave(f)
}

// SetRate changes the rate of a link.
func (c *Clock) SetRate(l *Link, rate float64) {
	l.Rate = rate
	for f := range l.flows {
		c.reschedule(f)
	}
}

func (c *Clock) finish(f *Flow) {
	c.progress(f)
	f.ended = true
	c.leave(f)
	f.done()
}

func (c *Clock) leave(f *Flow) {
	for _, l := range f.links {
		delete(l.flows, f)
	}
	c.adjust(f)
}

// adjust works out anew the rates of all transfers on a transfer's links.
func (c *Clock) adjust(f *Flow) {
	for _, l := range f.links {
		for o := range l.flows {
			c.reschedule(o)
		}
	}
}

func (c *Clock) progress(f *Flow) {
	moved := min(f.left, f.rate*(c.now-f.since).Seconds())
	f.left -= moved
	f.since = c.now
	for _, l := range f.links {
		l.Carried += moved
	}
}

func (c *Clock) reschedule(f *Flow) {
	rate := -1.0
	for _, l := range f.links {
		if r := l.Rate / float64(len(l.flows)); rate < 0 || r < rate {
			rate = r
		}
	}
	if rate == f.rate && f.number > 0 {
		return
	}
	c.progress(f)
	f.rate = rate
	f.number++
	if rate <= 0 {
		return
	}
	end := time.Duration(f.left / rate * float64(time.Second))
	c.push(&event{at: c.now + end, flow: f, number: f.number})
}
