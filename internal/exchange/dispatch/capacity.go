package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"egretproxy/internal/site/discovery"
)

const (
	// extraPerEngine is the number of requests that an engine gets beyond its
	// slots, so that a freed slot is reused immediately.
	extraPerEngine = 1
	// serviceOversubscription is how many times the slots of a plain service
	// all entries together may fill. Its requests are short.
	serviceOversubscription = 2.0
	// coldMargin keeps the total of all entries below the capacity of cold
	// targets while a new entry is not yet known to the others.
	coldMargin = 0.8
	// coldPerSharer is the number of requests per second for each entry that a
	// cold target must bear. An entry with less would hardly use the target.
	coldPerSharer = 2
	// unallottedSharers is the fraction of the entries that could share a target
	// that do on average while it allots no parts. They don't know each other.
	unallottedSharers = 0.7
	// homeRegionBonus is the preference for targets in the own region, in
	// requests. It saves inter-region bandwidth and keeps entries of
	// different regions from selecting the same target based on the same
	// reports.
	homeRegionBonus = 6
	// prefillWeight is the weight of processing a prompt of mean size, in
	// requests, because prefill delays all other requests at an engine.
	prefillWeight = 2
	// delayMsPerRequest is the network delay in milliseconds that counts as
	// one request. A slot takes about as long to become free.
	delayMsPerRequest = 40
	// oldWeightsPenalty is the penalty for older weights, in requests, for a
	// interrupted request.
	oldWeightsPenalty = 10
	// overrunPenaltyPerSecond is the penalty for targets that load weights before the
	// request is expected to end, in requests for each second, and minOverrunPenalty
	// the least one.
	overrunPenaltyPerSecond, minOverrunPenalty = 8, 4
	// maxNetworkDelay is the delay above which a target gets no requests:
	// they would arrive after their objective, or after the view they were
	// based on has changed.
	maxNetworkDelay = 300 * time.Millisecond
	// reportInterval is the interval of reports of targets whose load
	// changes.
	reportInterval = 50 * time.Millisecond
	// immediateStartShare is the share of an engine's slots up to which
	// requests start without a wait.
	immediateStartShare = 0.5
	// reportLifetime is how long a target's own report is used.
	reportLifetime = 1500 * time.Millisecond
	// freedCreditTime is how long an entry may reuse a place that one of its own
	// requests left. After that the target deals it to any entry.
	freedCreditTime = 25 * time.Millisecond
	// freeSlotWait is how long requests wait for a free slot anywhere before
	// they wait at an engine for the next one.
	freeSlotWait = 40 * time.Millisecond
	// silentTargetPause is the age of the last report up to which a target
	// without fresh reports gets no requests: its instance is stalled or its
	// link is saturated. After that only the reporting process is assumed to
	// be gone.
	silentTargetPause = 8 * time.Second
	// defaultSlots is used for targets that announce no number of slots.
	defaultSlots = 4
)

// mayServe reports whether the target is eligible for the request, regardless
// of its load.
func mayServe(s *service, t *target, r *Request, now time.Time) bool {
	if !t.inService() {
		return false
	}
	if slices.Contains(r.Exclude, t.ID) {
		return false
	}
	if len(r.Regions) > 0 && !slices.Contains(r.Regions, t.region) {
		return false
	}
	if s.spec.Engine == nil {
		return true
	}
	weights := t.weights(now)
	if weights <= 0 || weights < r.MinWeights {
		return false
	}
	return weights >= r.NewerWeights || startsInTime(s, t, r.StartBy, now)
}

// inService reports whether the target may get new requests at all.
func (t *target) inService() bool {
	return t.Stage == discovery.Ready && !t.withdrawn && (t.notice == nil || !t.notice.leaving)
}

func (t *target) hasFreshReport(now time.Time) bool { return now.Sub(t.reportTime) < reportLifetime }

// reportsStopped reports whether the target's reports stopped recently.
func (t *target) reportsStopped(now time.Time) bool {
	age := now.Sub(t.reportTime)
	return !t.reportTime.IsZero() && age >= reportLifetime && age < silentTargetPause
}

func (t *target) weights(now time.Time) int64 {
	if t.hasFreshReport(now) {
		return t.load.Weights
	}
	return t.Weights
}

// inFlight estimates the requests in progress from all entries.
func (d *Dispatcher) inFlight(t *target, now time.Time) float64 {
	if t.hasFreshReport(now) {
		return float64(t.ownInFlight + max(0, t.load.Active+t.load.Queued-t.ownAtReport))
	}
	return float64(t.ownInFlight) * float64(d.entries)
}

// slots returns the number of requests that the target processes at once: what it
// announced, or else what its service states.
func (s *service) slots(t *target) int {
	switch {
	case t.Slots > 0:
		return t.Slots
	case s.spec.Engine != nil:
		return s.spec.Engine.Slots
	default:
		return defaultSlots
	}
}

func (d *Dispatcher) limit(s *service, t *target, now time.Time) float64 {
	slots := s.slots(t)
	if s.spec.Engine != nil {
		if t.weights(now) < s.nextMinWeights {
			return ImmediateStartLimit(slots)
		}
		return float64(EngineLimit(slots))
	}
	return float64(slots)*serviceOversubscription + float64(d.entries)
}

// ImmediateStartLimit returns the number of requests up to which an engine starts
// another one without a wait.
func ImmediateStartLimit(slots int) float64 { return immediateStartShare * float64(slots) }

// EngineLimit returns the number of requests that an engine gets from all entries
// together.
func EngineLimit(slots int) int { return slots + extraPerEngine }

// hasCapacity reports whether the target can start the request soon.
func (d *Dispatcher) hasCapacity(s *service, t *target, now time.Time) bool {
	// Of many engines the entry shares only some, so that this decides most.
	fresh := t.hasFreshReport(now)
	if s.spec.Engine != nil && fresh && (t.credit <= 0 || now.After(t.creditUntil)) || t.part(now) <= 0 {
		return false
	}
	if t.pauses(now) || t.reportsStopped(now) || fresh && (t.load.Closed || t.load.NetworkDelay > maxNetworkDelay) || !t.health.admits(now) {
		return false
	}
	if d.inFlight(t, now) >= d.limit(s, t, now) {
		return false
	}
	return t.limit.ready(now, d.limitPart(s, t, now)) && t.bucket.ready(now, d.coldRate(s, t, now))
}

// allotted reports whether the target has told this entry what part of its
// capacity to use.
func (t *target) allotted(now time.Time) bool { return now.Before(t.shareUntil) }

// part returns this entry's part of the target's capacity.
func (t *target) part(now time.Time) float64 {
	if t.allotted(now) {
		return t.share.Part
	}
	return t.unallottedPart
}

// limitPart returns this entry's part of a limit that the target named: its part of
// the target, or else of the traffic.
func (d *Dispatcher) limitPart(s *service, t *target, now time.Time) float64 {
	if t.allotted(now) {
		return t.share.Part
	}
	return s.share.of(d.entries)
}

// partWithoutAllotment returns this entry's part of a target that allots none.
// The entries split it equally. If that left each less than coldPerSharer, each
// entry uses only some of the targets instead, by a hash.
func (d *Dispatcher) partWithoutAllotment(s *service, t *target) float64 {
	equal := 1 / float64(d.entries)
	if s.spec.ColdPerSecond <= 0 {
		return equal
	}
	sharers := ColdSharers(s.spec.ColdPerSecond, d.cfg.ColdOverrun, d.cfg.ColdAllowance)
	if d.entries <= sharers {
		return equal
	}
	hash := float64(xxhash.Sum64String(d.cfg.Name+"/"+string(t.ID))) / math.MaxUint64
	if hash*float64(d.entries) < unallottedSharers*float64(sharers) {
		return 1 / float64(sharers)
	}
	return 0
}

// renewCredit sets the entry's credit by the newest report: the places that the
// target dealt to it or, while it deals none, this entry's part of the free
// capacity that all entries see in the same report.
func (d *Dispatcher) renewCredit(s *service, t *target, now time.Time) {
	if t.load.Share.Sharers > 0 {
		t.credit, t.creditUntil = roundCredit(float64(t.load.Places), t.load.NetworkDelay), now.Add(t.load.PlacesValid)
		return
	}
	free := d.limit(s, t, now) - d.inFlight(t, now)
	t.credit, t.creditUntil = roundCredit(max(free, 0)*t.part(now), t.load.NetworkDelay), now.Add(reportLifetime)
}

// roundCredit returns the number of requests to send for a part of the free
// capacity. Requests take the network delay to show up in a report, so several
// reports include the same free slots. Fractions are rounded up or down randomly,
// so that the total over all entries is about right.
func roundCredit(own float64, delay time.Duration) int {
	own /= 1 + max(delay.Seconds(), 0)/reportInterval.Seconds()
	slots := int(own)
	if rand.Float64() < own-float64(slots) {
		slots++
	}
	return slots
}

// coldRate returns this entry's share of the requests per second that a cold
// target can handle, or 0 for no limit. It applies to warm targets too, since
// they may turn cold at any moment and entries do not coordinate for each
// request. A bucket holds one request at least, so each entry that shares a
// target has one, and the rest is split by the allotted parts.
func (d *Dispatcher) coldRate(s *service, t *target, now time.Time) float64 {
	if s.spec.ColdPerSecond <= 0 {
		return 0
	}
	total := coldCapacity(s.spec.ColdPerSecond, d.cfg.ColdOverrun, d.cfg.ColdAllowance)
	if t.allotted(now) {
		return 1 + t.share.Part*max(total-float64(t.share.Sharers), 0)
	}
	return total * t.unallottedPart
}

// coldCapacity returns the requests per second that all entries together send to
// a target that may be cold.
func coldCapacity(perSecond, overrun, allowance float64) float64 {
	return (perSecond*overrun + allowance) * coldMargin
}

// ColdSharers returns the number of entries among which a cold target can be
// shared so that each may send it some requests per second.
func ColdSharers(perSecond, overrun, allowance float64) int {
	return max(int(coldCapacity(perSecond, overrun, allowance)/coldPerSharer), 1)
}

// pick returns the eligible one of the targets with the lowest load score, or
// nil if none has capacity. found reports whether any is eligible, even if it
// has no capacity now.
func (d *Dispatcher) pick(s *service, targets []*target, r *Request, now time.Time) (best *target, found bool) {
	bestScore, newest := 0.0, int64(0)
	if r.Interrupted {
		newest = s.newestWeights(now)
	}
	for _, t := range targets {
		free := d.hasCapacity(s, t, now)
		if !free && found || !mayServe(s, t, r, now) {
			continue
		}
		found = true
		if !free || !s.pressed(now) && r.MaxWait > 0 && (s.full(t, d.inFlight(t, now)) || t.loadsBefore(r, now) && s.hasLater(r, now)) {
			continue
		}
		score := d.inFlight(t, now) + s.prefillPenalty(t) + t.delayPenalty(now) + rand.Float64()
		if t.region == d.cfg.HomeRegion {
			score -= homeRegionBonus
		}
		if r.Interrupted && t.weights(now) < newest {
			score += oldWeightsPenalty
		}
		score += t.overrunPenalty(r, now)
		if best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	return best, found
}

// pressed reports whether requests have waited for a slot for so long that they
// should rather wait at an engine.
func (s *service) pressed(now time.Time) bool {
	return len(s.waiters) > 0 && now.Sub(s.waitingSince) >= freeSlotWait
}

// full reports whether a request would wait for a slot at the engine.
func (s *service) full(t *target, inFlight float64) bool {
	return s.spec.Engine != nil && inFlight >= float64(s.slots(t))
}

// hasLater reports whether a target that accepts requests loads no weights before the
// request is expected to end.
func (s *service) hasLater(r *Request, now time.Time) bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool {
		closed := t.hasFreshReport(now) && t.load.Closed
		return t.inService() && !closed && t.weights(now) > 0 && !t.loadsBefore(r, now)
	})
}

// overrunPenalty returns how much the target suffers from the request if it loads
// weights before that ends, expressed in requests.
func (t *target) overrunPenalty(r *Request, now time.Time) float64 {
	if !t.loadsBefore(r, now) {
		return 0
	}
	return minOverrunPenalty + overrunPenaltyPerSecond*now.Add(r.Expected).Sub(t.load.LoadsAt).Seconds()
}

// loadsBefore reports whether the target is expected to load weights before the request
// ends. It waits for the request then, or aborts it.
func (t *target) loadsBefore(r *Request, now time.Time) bool {
	return r.Expected > 0 && !t.load.LoadsAt.IsZero() && t.hasFreshReport(now) && now.Add(r.Expected).After(t.load.LoadsAt)
}

// newestWeights returns the newest version that any target holds.
func (s *service) newestWeights(now time.Time) int64 {
	out := int64(0)
	for _, t := range s.targets {
		out = max(out, t.weights(now))
	}
	return out
}

// delayPenalty returns the network delay to the target, expressed in
// requests.
func (t *target) delayPenalty(now time.Time) float64 {
	if !t.hasFreshReport(now) {
		return 0
	}
	return float64(t.load.NetworkDelay.Milliseconds()) / delayMsPerRequest
}

// prefillPenalty returns the load of prompts being processed, expressed in
// requests.
func (s *service) prefillPenalty(t *target) float64 {
	if s.spec.Engine == nil || s.spec.Engine.MeanPromptTokens <= 0 {
		return 0
	}
	return prefillWeight * float64(t.prefillTokens) / s.spec.Engine.MeanPromptTokens
}
