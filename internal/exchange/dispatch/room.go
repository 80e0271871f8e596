package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"egretproxy/internal/site/discovery"
)

const (
	// queueSlack is the number of requests beyond its slots that an engine
	// is given, so that a slot that becomes free is taken at once.
	queueSlack = 1
	// plainOverlap is how many times the slots of a plain target all entries
	// together may fill. Its requests are short.
	plainOverlap = 2.0
	// coldMargin keeps the sum of all entries below what cold targets bear
	// while an entry is not known to the others yet.
	coldMargin = 0.8
	// homeBonus is what a target of the own region is worth, in requests.
	// Besides the thin links it keeps entries of different regions from
	// choosing the same target by the same reports.
	homeBonus = 6
	// readingWeight is the weight of a prompt of usual size that is being
	// read, in requests: reading holds up all others at an engine.
	readingWeight = 2
	// delayWeight is what a request counts that waits on the way to a target,
	// in milliseconds. A place that becomes free takes about as long.
	delayWeight = 40
	// staleWeight is what older weights count for a request that was cut off,
	// in requests.
	staleWeight = 10
	// maxDelay is the delay above which a target gets nothing: requests would
	// reach it after their objective, or under beliefs that have changed.
	maxDelay = 300 * time.Millisecond
	// reportInterval is that of targets whose load changes.
	reportInterval = 50 * time.Millisecond
	// atOncePart is the part of an engine's places up to which requests begin
	// without a wait.
	atOncePart = 0.5
	// reportFresh is how long a target's own report counts.
	reportFresh = 1500 * time.Millisecond
	// mutedFor is how long a target whose reports stopped gets nothing: its
	// instance stands still or its link is full. After that the process that
	// reports is taken for gone.
	mutedFor = 8 * time.Second
	// defaultSlots stands for targets that name none.
	defaultSlots = 4
)

// mayServe reports whether the target may serve the request at all.
func (b *Board) mayServe(s *service, t *target, a *Ask) bool {
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

func (t *target) reported() bool { return time.Since(t.loadAt) < reportFresh }

// muted reports whether reports stopped a short while ago.
func (t *target) muted() bool {
	age := time.Since(t.loadAt)
	return !t.loadAt.IsZero() && age >= reportFresh && age < mutedFor
}

func (t *target) weights() int64 {
	if t.reported() {
		return t.load.Weights
	}
	return t.Weights
}

// busy estimates the requests in progress from all entries.
func (b *Board) busy(t *target) float64 {
	if t.reported() {
		return float64(t.own + max(0, t.load.Active+t.load.Queued-t.ownThen))
	}
	return float64(t.own) * float64(b.entries)
}

func (b *Board) limit(s *service, t *target) float64 {
	slots := t.Slots
	if s.spec.Engine != nil {
		if slots == 0 {
			slots = s.spec.Engine.Slots
		}
		if t.weights() < s.soon {
			return atOncePart * float64(slots)
		}
		return float64(slots + queueSlack)
	}
	if slots == 0 {
		slots = defaultSlots
	}
	return float64(slots)*plainOverlap + float64(b.entries)
}

// hasRoom reports whether the target can begin on the request soon.
func (b *Board) hasRoom(s *service, t *target) bool {
	now := time.Now()
	if t.muted() || t.reported() && (t.load.Closed || t.load.Delay > maxDelay) || !t.health.admits(now) {
		return false
	}
	if b.busy(t) >= b.limit(s, t) {
		return false
	}
	if s.spec.Engine != nil && t.reported() && t.credit <= 0 {
		return false
	}
	return t.bucket.ready(now, b.rateFor(s))
}

// share returns this entry's part of places that all entries see in the same
// report. Requests take the delay of the way until a report shows them, so
// that the same places stand in several reports. Parts of a place are given by
// chance, so that the sum of all entries is about right.
func (b *Board) share(room float64, delay time.Duration) int {
	reports := 1 + max(delay.Seconds(), 0)/reportInterval.Seconds()
	part := max(room, 0) / float64(b.entries) / reports
	whole := int(part)
	if rand.Float64() < part-float64(whole) {
		whole++
	}
	return whole
}

// rateFor returns this entry's share of the requests in a second that a cold
// target bears, or 0 for no bound. It holds for warm targets too, since they
// may turn cold at any moment and entries don't talk for each request.
func (b *Board) rateFor(s *service) float64 {
	if s.spec.ColdPerSecond <= 0 {
		return 0
	}
	total := s.spec.ColdPerSecond*b.cfg.ColdOverrun + b.cfg.ColdAllowance
	return total * coldMargin / float64(b.entries)
}

// pick returns the target with the most room, or nil. found tells whether
// any target may serve the request later.
func (b *Board) pick(s *service, a *Ask) (best *target, found bool) {
	score, newest := 0.0, s.newest()
	for _, t := range s.targets {
		if !b.mayServe(s, t, a) {
			continue
		}
		found = true
		if !b.hasRoom(s, t) {
			continue
		}
		x := b.busy(t) + s.reading(t) + t.delay() + rand.Float64()
		if b.cfg.Regions[t.Domain] == b.cfg.Home {
			x -= homeBonus
		}
		if a.Moved && t.weights() < newest {
			x += staleWeight
		}
		if best == nil || x < score {
			best, score = t, x
		}
	}
	return best, found
}

// newest returns the newest weights that a target holds.
func (s *service) newest() int64 {
	out := int64(0)
	for _, t := range s.targets {
		out = max(out, t.weights())
	}
	return out
}

// delay returns what the way to the target counts, in requests.
func (t *target) delay() float64 {
	if !t.reported() {
		return 0
	}
	return float64(t.load.Delay.Milliseconds()) / delayWeight
}

// reading returns what the prompts that are being read count, in requests.
func (s *service) reading(t *target) float64 {
	if s.spec.Engine == nil || s.spec.Engine.MeanPromptTokens <= 0 {
		return 0
	}
	return readingWeight * float64(t.reading) / s.spec.Engine.MeanPromptTokens
}
