// Package succession decides which of two versions of weights is fetched and loaded
// while the newer one has been named but is not complete. It does no I/O.
package succession

import "time"

// stalledAfter is the time without a new piece after which the source of a version
// counts as out of service.
const stalledAfter = time.Second

// Copy is how much of a version a process holds.
type Copy struct {
	// Held of Pieces are in memory. Pieces is 0 until the manifest is known.
	Held, Pieces int
	// Waited is how long the process has been fetching the version since the newest
	// piece arrived.
	Waited time.Duration
}

// Complete reports whether all pieces are held.
func (c Copy) Complete() bool { return c.Pieces > 0 && c.Held == c.Pieces }

// stalled reports whether no piece has arrived lately.
func (c Copy) stalled() bool { return !c.Complete() && c.Waited >= stalledAfter }

// Succession is the replacement of weights by a version that is itself replaced by a
// newer one.
type Succession struct {
	Older, Newer Copy
	// OlderDue is when requests may no longer start on what was there before the
	// older version, NewerDue when they may no longer start on the older one.
	OlderDue, NewerDue time.Time
	// FetchTime is the time to fetch a whole copy, LoadTime that of one load, LeadTime
	// the time until all targets have loaded a whole copy one after the other.
	FetchTime, LoadTime, LeadTime time.Duration
}

// FinishesOlder reports whether the older version is fetched to its end before the
// newer one: pieces of it arrive, and the newer one can still be loaded before what is
// there is due, so that the older one needs no load.
func (s Succession) FinishesOlder(now time.Time) bool {
	return s.olderIsPart() && !s.Newer.Complete() && !now.Add(s.rest(s.Older)+s.FetchTime+s.LoadTime).After(s.OlderDue)
}

// ResumesOlder reports whether the older version is fetched because the newer one makes
// no progress: its source may be out of service, while others hold the older one.
func (s Succession) ResumesOlder(now time.Time) bool {
	return s.olderIsPart() && s.Newer.stalled() && now.Add(s.rest(s.Older)+s.LoadTime).Before(s.NewerDue)
}

// LoadsOlder reports whether the older version, which is complete, is loaded now: the
// newer one makes no progress, or it comes too late to be loaded before what is there
// is due.
func (s Succession) LoadsOlder(now time.Time) bool {
	if !s.Older.Complete() || s.Newer.Complete() || !now.Add(s.LoadTime).Before(s.NewerDue) {
		return false
	}
	return s.Newer.stalled() || now.Add(s.LeadTime).After(s.OlderDue) && now.Add(s.rest(s.Newer)+s.LoadTime).After(s.OlderDue)
}

// olderIsPart reports whether some pieces of the older version are held and more of them
// arrive, or may.
func (s Succession) olderIsPart() bool {
	return s.Older.Held > 0 && !s.Older.Complete() && !s.Older.stalled()
}

// rest returns the time to fetch the rest of a version.
func (s Succession) rest(c Copy) time.Duration {
	if c.Pieces == 0 {
		return s.FetchTime
	}
	return s.FetchTime * time.Duration(c.Pieces-c.Held) / time.Duration(c.Pieces)
}
