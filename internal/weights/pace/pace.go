// Package pace keeps transfers between regions out of the way of live
// requests: it lowers their rate as soon as the link's queue grows, after the
// idea of LEDBAT (RFC 6817).
package pace

import (
	"sync"
	"time"
)

const (
	// targetDelay is the queueing delay that transfers may cause.
	targetDelay = 10 * time.Millisecond
	// decrease is the factor on too much delay.
	decrease = 0.7
	// increaseShare is the part of the highest rate that is added for each
	// sample without delay.
	increaseShare = 0.02
	// minShare is the part of the highest rate that is always left, so that
	// a transfer never stops for good.
	minShare = 0.01
	// baseWindow is the time after which the base round trip is measured
	// anew.
	baseWindow = 60 * time.Second
)

// Pace is the rate of one agent's transfers between regions. Set Max before
// use.
type Pace struct {
	// Max is the highest rate in bytes a second.
	Max float64

	mu   sync.Mutex
	rate float64
	// base is the shortest round trip of the present window.
	base    time.Duration
	baseEnd time.Time
}

// SetMax changes the highest rate.
func (p *Pace) SetMax(rate float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Max = rate
	p.rate = min(p.rate, rate)
}

// Sample takes in the round trip of a small question over the link.
func (p *Pace) Sample(rtt time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	if p.base == 0 || rtt < p.base || now.After(p.baseEnd) {
		p.base = rtt
		p.baseEnd = now.Add(baseWindow)
	}
	if rtt-p.base > targetDelay {
		p.rate = max(p.rate*decrease, p.Max*minShare)
		return
	}
	p.rate = min(p.rate+p.Max*increaseShare, p.Max)
}

// Rate returns the permitted rate in bytes a second.
func (p *Pace) Rate() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	return p.rate
}

func (p *Pace) init() {
	if p.rate == 0 {
		p.rate = p.Max / 2
	}
}
