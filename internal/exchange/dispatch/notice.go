package dispatch

import (
	"time"

	"egretproxy/internal/fleet/id"
)

// noticeRetention is how long a notice outlives its target's last appearance in a
// view. A target may be missing from views for a while.
const noticeRetention = time.Minute

// notice is what an incarnation of a target asked of this entry in its responses.
type notice struct {
	born int64
	// leaving means that it wants no new requests at all.
	leaving bool
	// pausedUntil is the time until which it wants no requests.
	pausedUntil time.Time
	// knownAt is when the target was last in a view.
	knownAt time.Time
}

// pauses reports whether the target has asked for no requests at the time.
func (t *target) pauses(at time.Time) bool {
	return t.notice != nil && at.Before(t.notice.pausedUntil)
}

// pausesBeyond reports whether all targets that may serve the request have asked for
// pauses that end after its longest wait.
func (s *service) pausesBeyond(r *Request, now time.Time) bool {
	for _, t := range s.targets {
		if mayServe(s, t, r, now) && !t.pauses(now.Add(r.MaxWait)) {
			return false
		}
	}
	return true
}

// updateNotices drops the notices of earlier incarnations and of targets that have
// been gone for long, and returns them to targets that are back. The caller holds
// mu.
func (d *Dispatcher) updateNotices(now time.Time) {
	for k, n := range d.notices {
		t := d.targets[k]
		switch {
		case t != nil && t.Born == n.born:
			t.notice, n.knownAt = n, now
		case t != nil || now.Sub(n.knownAt) > noticeRetention:
			delete(d.notices, k)
		}
	}
}

// notice returns the notice of the grant's target, and creates it if needed. The
// caller holds the dispatcher's mu.
func (g *Grant) notice(now time.Time) *notice {
	if g.target.notice == nil {
		g.target.notice = &notice{born: g.target.Born, knownAt: now}
		if g.dispatcher.notices == nil {
			g.dispatcher.notices = map[id.Target]*notice{}
		}
		g.dispatcher.notices[g.Target] = g.target.notice
	}
	return g.target.notice
}

// RecordLeaving records that the target said that it leaves. It gets no new requests
// from this entry, whatever it announces. It reports whether that is news.
func (g *Grant) RecordLeaving() bool {
	d := g.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	n := g.notice(time.Now())
	news := !n.leaving
	n.leaving = true
	return news
}

// RecordPause records that the target turned a request away and wants none from this
// entry for a while. It reports whether that is news.
func (g *Grant) RecordPause(pause time.Duration) bool {
	d := g.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	n := g.notice(now)
	until := now.Add(pause)
	news := !now.Before(n.pausedUntil)
	if until.After(n.pausedUntil) {
		n.pausedUntil = until
	}
	return news
}
