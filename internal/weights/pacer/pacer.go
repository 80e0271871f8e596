// Package pacer keeps transfers between regions out of the way of live
// requests: it lowers their rate as soon as the link's queue grows, after the
// idea of LEDBAT (RFC 6817).
package pacer

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
	// baseRTTWindow is the time after which the base round trip is measured
	// anew.
	baseRTTWindow = 60 * time.Second
)

// Pacer is the rate of one agent's transfers between regions. Set Max before
// use.
type Pacer struct {
	// Max is the highest rate in bytes a second.
	Max float64

	mu   sync.Mutex
	rate float64
	// baseRTT is the shortest round trip of the present window.
	baseRTT time.Duration
	baseEnd time.Time
}

// SetMax changes the highest rate.
func (p *Pacer) SetMax(rate float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Max = rate
	p.rate = min(p.rate, rate)
}

// Sample takes in the round trip of a small question over the link.
func (p *Pacer) Sample(rtt time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	if p.baseRTT == 0 || rtt < p.baseRTT || now.After(p.baseEnd) {
		p.baseRTT = rtt
		p.baseEnd = now.Add(baseRTTWindow)
	}
	if rtt-p.baseRTT > targetDelay {
		p.rate = max(p.rate*decrease, p.Max*minShare)
		return
	}
	p.rate = min(p.rate+p.Max*increaseShare, p.Max)
}

// Rate returns the permitted rate in bytes a second.
func (p *Pacer) Rate() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	return p.rate
}

func (p *Pacer) init() {
	if p.rate == 0 {
		p.rate = p.Max / 2
	}
}
