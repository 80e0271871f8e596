// Package rollout decides when the targets of a service load a version of weights, and
// how long each lets the requests that it runs end before that.
//
// A request that began on the older version may go on when the newer one is required, so
// that a target may wait for it. What waiting costs is capacity: such a target takes no
// new requests. So the moments are spread over the time until the version is due and
// announced early, so that requests which would outlast a moment go elsewhere.
package rollout

import "time"

const (
	// StagingTime is the time allowed for staging. An instance with a link of
	// 9.4 Mbit/s receives a version in 2.1 s.
	StagingTime = 2300 * time.Millisecond
	// stagingGrace is how much longer staging may take until the moments that were
	// announced count for nothing.
	stagingGrace = 1500 * time.Millisecond
	// LoadDuration is the time reserved for a load and for entries to learn of it.
	LoadDuration = 500 * time.Millisecond
	// ShortDrain is how long requests may continue where capacity is short. A target
	// that waits for its longest stream is half idle; one that aborts all streams
	// makes other targets repeat the prefill. Values between 0.3 and 0.7 s are
	// equivalent.
	ShortDrain = 400 * time.Millisecond
	// lateSpread is the time over which loads are spread if the weights were staged
	// too late.
	lateSpread = 1500 * time.Millisecond
	// minSpread is the least time over which moments are spread so that targets wait
	// for their requests. Below it most of those that are staged late load at once.
	minSpread = time.Second
	// spareShare is the share of a target's slots up to which the others can bear its
	// requests while it waits.
	spareShare = 0.75
	// fullShare is the share of a target's slots from which on it is full.
	fullShare = 0.9
	// maxFirstShare is the greatest share of targets that load first, together.
	maxFirstShare = 0.4
	// secondDelay is the time after which these are back.
	secondDelay = ShortDrain + LoadDuration
)

// Rollout is what decides at one target. The zero value aborts requests after ShortDrain.
type Rollout struct {
	// Drain is the longest time that a target waits for its requests.
	Drain time.Duration
}

// Target is one of those that load a version. All times are relative to its publication.
type Target struct {
	// Position is the target's place among Count targets.
	Position, Count int
	// Busy is the share of its slots that was taken when the version became known.
	Busy float64
	// Age is the current time, Due the time from which no request may start on the
	// older version.
	Age, Due time.Duration
}

// Moment returns when the target stops taking requests to load. The moments are spread
// over the time between the end of staging and the moment the version is due, so that
// few targets are unavailable at once. Where there is spare capacity, the first targets
// load together as soon as the version is staged: they were kept from long requests
// until then, and take them from then on.
func (r Rollout) Moment(t Target) time.Duration {
	earliest := max(StagingTime, t.Age)
	end := t.Due - ShortDrain - LoadDuration
	span := max(end-earliest, lateSpread)
	begin, position, count := earliest, t.Position, t.Count
	if first := int(r.firstShare(t) * float64(t.Count)); first > 0 && end-earliest > lateSpread {
		if t.Position < first {
			return max(min(earliest, t.Due), t.Age)
		}
		begin += secondDelay
		span, position, count = end-begin, t.Position-first, t.Count-first
	}
	start := begin + span*time.Duration(position)/time.Duration(max(count, 1))
	// Once the version is due, the target gets no requests that a load could
	// interrupt.
	return max(min(start, t.Due), t.Age)
}

// Announced returns the moment that is announced before the version is staged, and until
// when it is.
func (r Rollout) Announced(t Target) (moment, until time.Duration) {
	t.Age = min(t.Age, StagingTime)
	return r.Moment(t), StagingTime + stagingGrace
}

// firstShare returns the share of the targets that load first.
func (r Rollout) firstShare(t Target) float64 {
	if r.Drain <= ShortDrain {
		return 0
	}
	return min(max(spareShare-t.Busy, 0), maxFirstShare)
}

// Load is the load of a target that is about to load a version.
type Load struct {
	// Busy is that of Target, Now the present share. The target got no long requests
	// meanwhile, unless no other had room.
	Busy, Now float64
	// Left is the time that was left until the version is due when it was staged.
	Left time.Duration
}

// Patience returns how long the target lets its requests end from now on. Where capacity
// is short, or most targets load at once since the version came late, that is
// ShortDrain.
func (r Rollout) Patience(l Load) time.Duration {
	if l.Busy > spareShare || l.Now > fullShare || l.Left < ShortDrain+LoadDuration+minSpread {
		return ShortDrain
	}
	return max(r.Drain, ShortDrain)
}
