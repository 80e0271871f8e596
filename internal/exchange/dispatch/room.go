package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"egretproxy/internal/site/discovery"
)

const (
	// extraPerEngine is the number of requests beyond its slots that an engine
	// is given, so that a slot that becomes free is taken at once.
	extraPerEngine = 1
	// serviceOversubscription is how many times the slots of a plain target all entries
	// together may fill. Its requests are short.
	serviceOversubscription = 2.0
	// coldMargin keeps the sum of all entries below what cold targets bear
	// while an entry is not known to the others yet.
	coldMargin = 0.8
	// homeRegionBonus is what a target of the own region is worth, in requests.
	// Besides the thin links it keeps entries of different regions from
	// choosing the same target by the same reports.
	homeRegionBonus = 6
	// prefillWeight is the weight of a prompt of usual size that is being
	// read, in requests: reading holds up all others at an engine.
	prefillWeight = 2
	// delayMsPerRequest is what a request counts that waits on the way to a target,
	// in milliseconds. A place that becomes free takes about as long.
	delayMsPerRequest = 40
	// oldWeightsPenalty is what older weights count for a request that was cut off,
	// in requests.
	oldWeightsPenalty = 10
	// maxNetworkDelay is the delay above which a target gets nothing: requests would
	// reach it after their objective, or under beliefs that have changed.
	maxNetworkDelay = 300 * time.Millisecond
	// reportInterval is that of targets whose load changes.
	reportInterval = 50 * time.Millisecond
	// immediateStartShare is the part of an engine's places up to which requests begin
	// without a wait.
	immediateStartShare = 0.5
	// reportLifetime is how long a target's own report counts.
	reportLifetime = 1500 * time.Millisecond
	// silentTargetPause is how long a target whose reports stopped gets nothing: its
	// instance stands still or its link is full. After that the process that
	// reports is taken for gone.
	silentTargetPause = 8 * time.Second
	// defaultSlots stands for targets that name none.
	defaultSlots = 4
)

// mayServe reports whether the target may serve the request at all.
func (b *Dispatcher) mayServe(s *service, t *target, a *Request) bool {
	if t.Stage != discovery.Ready || t.withdrawn {
		return false
	}
	if slices.Contains(a.Exclude, t.ID) {
		return false
	}
	if len(a.Regions) > 0 && !slices.Contains(a.Regions, b.cfg.Regions[t.Domain]) {
		return false
	}
	if s.spec.Engine == nil {
		return true
	}
	weights := t.weights()
	return weights > 0 && weights >= a.MinWeights
}

func (t *target) hasFreshReport() bool { return time.Since(t.loadTime) < reportLifetime }

// reportsStopped reports whether reports stopped a short while ago.
func (t *target) reportsStopped() bool {
	age := time.Since(t.loadTime)
	return !t.loadTime.IsZero() && age >= reportLifetime && age < silentTargetPause
}

func (t *target) weights() int64 {
	if t.hasFreshReport() {
		return t.load.Weights
	}
	return t.Weights
}

// inFlight estimates the requests in progress from all entries.
func (b *Dispatcher) inFlight(t *target) float64 {
	if t.hasFreshReport() {
		return float64(t.ownInFlight + max(0, t.load.Active+t.load.Queued-t.ownAtReport))
	}
	return float64(t.ownInFlight) * float64(b.entries)
}

func (b *Dispatcher) limit(s *service, t *target) float64 {
	slots := t.Slots
	if s.spec.Engine != nil {
		if slots == 0 {
			slots = s.spec.Engine.Slots
		}
		if t.weights() < s.nextMinWeights {
			return immediateStartShare * float64(slots)
		}
		return float64(slots + extraPerEngine)
	}
	if slots == 0 {
		slots = defaultSlots
	}
	return float64(slots)*serviceOversubscription + float64(b.entries)
}

// hasCapacity reports whether the target can begin on the request soon.
func (b *Dispatcher) hasCapacity(s *service, t *target) bool {
	now := time.Now()
	if t.reportsStopped() || t.hasFreshReport() && (t.load.Closed || t.load.NetworkDelay > maxNetworkDelay) || !t.health.admits(now) {
		return false
	}
	if b.inFlight(t) >= b.limit(s, t) {
		return false
	}
	if s.spec.Engine != nil && t.hasFreshReport() && t.credit <= 0 {
		return false
	}
	return t.bucket.ready(now, b.coldRate(s))
}

// ownShare returns this entry's part of places that all entries see in the same
// report. Requests take the delay of the way until a report shows them, so
// that the same places stand in several reports. Parts of a place are given by
// chance, so that the sum of all entries is about right.
func (b *Dispatcher) ownShare(room float64, delay time.Duration) int {
	reports := 1 + max(delay.Seconds(), 0)/reportInterval.Seconds()
	part := max(room, 0) / float64(b.entries) / reports
	whole := int(part)
	if rand.Float64() < part-float64(whole) {
		whole++
	}
	return whole
}

// coldRate returns this entry's share of the requests in a second that a cold
// target bears, or 0 for no bound. It holds for warm targets too, since they
// may turn cold at any moment and entries don't talk for each request.
func (b *Dispatcher) coldRate(s *service) float64 {
	if s.spec.ColdPerSecond <= 0 {
		return 0
	}
	total := s.spec.ColdPerSecond*b.cfg.ColdOverrun + b.cfg.ColdAllowance
	return total * coldMargin / float64(b.entries)
}

// pick returns the target with the most room, or nil. found tells whether
// any target may serve the request later.
func (b *Dispatcher) pick(s *service, a *Request) (best *target, found bool) {
	score, newest := 0.0, s.newestWeights()
	for _, t := range s.targets {
		if !b.mayServe(s, t, a) {
			continue
		}
		found = true
		if !b.hasCapacity(s, t) {
			continue
		}
		x := b.inFlight(t) + s.prefillPenalty(t) + t.delayPenalty() + rand.Float64()
		if b.cfg.Regions[t.Domain] == b.cfg.HomeRegion {
			x -= homeRegionBonus
		}
		if a.Interrupted && t.weights() < newest {
			x += oldWeightsPenalty
		}
		if best == nil || x < score {
			best, score = t, x
		}
	}
	return best, found
}

// newestWeights returns the newestWeights weights that a target holds.
func (s *service) newestWeights() int64 {
	out := int64(0)
	for _, t := range s.targets {
		out = max(out, t.weights())
	}
	return out
}

// delayPenalty returns what the way to the target counts, in requests.
func (t *target) delayPenalty() float64 {
	if !t.hasFreshReport() {
		return 0
	}
	return float64(t.load.NetworkDelay.Milliseconds()) / delayMsPerRequest
}

// prefillPenalty returns what the prompts that are being read count, in requests.
func (s *service) prefillPenalty(t *target) float64 {
	if s.spec.Engine == nil || s.spec.Engine.MeanPromptTokens <= 0 {
		return 0
	}
	return prefillWeight * float64(t.prefillTokens) / s.spec.Engine.MeanPromptTokens
}
