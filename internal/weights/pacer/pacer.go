// Package pacer limits the rate of transfers between regions in favour of live
// requests: it lowers the rate as soon as queueing delay grows on the link,
// similar to LEDBAT (RFC 6817).
package pacer

import (
	"sync"
	"time"
)

const (
	// targetDelay is the queueing delay that transfers may cause.
	targetDelay = 10 * time.Millisecond
	// decrease is the factor applied to the rate when the delay exceeds
	// targetDelay.
	decrease = 0.7
	// increaseShare is the fraction of the maximum rate that is added for each
	// sample below targetDelay.
	increaseShare = 0.02
	// minShare is the fraction of the maximum rate that is always granted, so
	// that a transfer never stops completely.
	minShare = 0.01
	// baseRTTWindow is the time after which the base round-trip time is
	// measured again.
	baseRTTWindow = 60 * time.Second
)

// Pacer controls the rate of one agent's transfers between regions. It is safe
// for concurrent use; Max must be set before use.
type Pacer struct {
	// Max is the maximum rate in bytes per second.
	Max float64

	mu   sync.Mutex
	rate float64
	// baseRTT is the shortest round-trip time in the current window.
	baseRTT time.Duration
	baseEnd time.Time
}

// SetMax changes the maximum rate, in bytes per second.
func (p *Pacer) SetMax(rate float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Max = rate
	p.rate = min(p.rate, rate)
}

// Sample adjusts the rate to the round-trip time of a small query over the
// link.
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

// Rate returns the permitted rate in bytes per second.
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
