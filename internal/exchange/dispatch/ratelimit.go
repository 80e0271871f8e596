package dispatch

import (
	"math"
	"math/rand/v2"
	"time"

	"egretproxy/internal/fleet/id"
)

const (
	// limitMargin keeps the sum of all entries below a target's limit while their
	// shares change.
	limitMargin = 1.0
	// equalShare is the part of a limit that is split equally. The rest follows
	// the entries' traffic. An entry without traffic needs some of it to notice
	// that traffic begins.
	equalShare = 0.2
	// minLimit is the rate in requests per second at which all entries together
	// try a target that takes none, since only a response shows that its limit
	// has changed.
	minLimit = 0.3
	// limitBurst is the time whose requests may be sent at once, but at least one.
	limitBurst = 250 * time.Millisecond
	// shareRise is the time in which a share that grew comes into effect.
	// Shrinking ones do at once, so that the sum stays below the limit.
	shareRise = 3 * time.Second
	// demandWindow is the time over which the traffic is measured.
	demandWindow = 2 * time.Second
)

// rateLimit is the number of requests a second that a target takes from all
// entries together, and what this entry may send. The zero value is no limit.
type rateLimit struct {
	// named is set while the target's responses name a limit.
	named     bool
	perSecond float64
	// tokens is the number of requests that may be sent at time at.
	tokens float64
	at     time.Time
}

// set applies the limit that a response named. When there was none before, the
// entries begin with random parts of a request, or they would all send one at the
// same time.
func (l *rateLimit) set(now time.Time, perSecond float64, named bool) {
	if named && !l.named {
		l.tokens, l.at = rand.Float64(), now
	}
	l.named, l.perSecond = named, perSecond
}

// ready reports whether a request may be sent now, with the entry's share of the
// limit.
func (l *rateLimit) ready(now time.Time, share float64) bool {
	if !l.named {
		return true
	}
	rate := max(l.perSecond*limitMargin, minLimit) * share
	l.tokens = min(l.tokens+now.Sub(l.at).Seconds()*rate, max(1, rate*limitBurst.Seconds()))
	l.at = now
	return l.tokens >= 1
}

// take uses up one request.
func (l *rateLimit) take() {
	if l.named {
		l.tokens--
	}
}

// limitShare is the entry's share of the limits of a service's targets. In its zero
// value the entry's traffic is unknown.
type limitShare struct {
	// traffic is the entry's part of the requests of all entries, 0 to 1.
	traffic float64
	at      time.Time
}

// update applies a new share of the traffic.
func (s *limitShare) update(now time.Time, traffic float64) {
	if traffic > s.traffic && !s.at.IsZero() {
		traffic = s.traffic + (traffic-s.traffic)*min(now.Sub(s.at).Seconds()/shareRise.Seconds(), 1)
	}
	s.traffic, s.at = traffic, now
}

// of returns the share of the limits among a number of entries.
func (s *limitShare) of(entries int) float64 {
	equal := 1 / float64(entries)
	if s.at.IsZero() {
		return equal
	}
	return equalShare*equal + (1-equalShare)*s.traffic
}

// demand measures the requests per second that come to the entry for a service.
type demand struct {
	perSecond float64
	at        time.Time
}

func (m *demand) add(now time.Time) {
	m.decay(now)
	m.perSecond += 1 / demandWindow.Seconds()
}

// decay forgets requests that are long past.
func (m *demand) decay(now time.Time) {
	if !m.at.IsZero() {
		m.perSecond *= max(1-now.Sub(m.at).Seconds()/demandWindow.Seconds(), 0)
	}
	m.at = now
}

// RecordLimit records the limit that a response of the target named, if any. It
// reports whether that differs from the response before.
func (g *Grant) RecordLimit(perSecond float64, named bool) bool {
	d := g.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	l := &g.target.limit
	changed := l.named != named || l.perSecond != perSecond
	l.set(time.Now(), perSecond, named)
	return changed
}

// Demand returns the requests per second that come to this entry for each service
// some of whose targets name a limit.
func (d *Dispatcher) Demand() map[id.Service]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out map[id.Service]float64
	now := time.Now()
	for k, s := range d.services {
		for _, t := range s.targets {
			if !t.limit.named {
				continue
			}
			if out == nil {
				out = map[id.Service]float64{}
			}
			s.demand.decay(now)
			out[k] = math.Round(s.demand.perSecond*10) / 10
			break
		}
	}
	return out
}
