package siteentry

import (
	"time"

	"egretproxy/internal/exchange/connpool"
	"egretproxy/internal/exchange/dispatch"
	"egretproxy/internal/kernel/boottime"
	"egretproxy/internal/kernel/httpserver"
)

// moment is a point in time by two clocks. The zero value is none.
type moment struct {
	// steady is by the monotonic clock, which stands still while the instance is
	// suspended.
	steady time.Time
	// boot is by the boottime clock, which doesn't.
	boot time.Duration
}

// now reads both clocks. It costs a system call.
func (e *Entry) now() moment {
	boot := e.bootNow
	if boot == nil {
		boot = boottime.Now
	}
	return moment{time.Now(), boot()}
}

// since returns the time since an earlier moment, with suspension.
func (m moment) since(earlier moment) time.Duration { return m.boot - earlier.boot }

// suspended returns for how long the instance was suspended since an earlier
// moment. The two clocks are read one after the other, so that it may be off by a
// pause of the process between these reads.
func (m moment) suspended(earlier moment) time.Duration {
	return max(m.since(earlier)-m.steady.Sub(earlier.steady), 0)
}

// ageFields are log fields that tell why a request went to a target, or would have,
// after its caller had left: it was old when it was read (ArrivedMsAgo, against
// AgeMs since then), the process or its instance stood still (AgeMs against
// TookMs, which leaves out suspension), the end of the connection had arrived
// before the request was sent (EndedMsAgo above SentMsAgo), it stood behind
// unread bytes, or the request was still on its way to the target (Unacked).
func (j *job) ageFields() []any {
	now, from := j.entry.now(), httpserver.ArrivedFrom(j.r)
	fields := []any{
		"AgeMs", now.since(j.readAt).Milliseconds(), "ArrivedMsAgo", from.Data.Milliseconds(),
		"EndedMsAgo", from.Packet.Milliseconds(), "Unread", from.Unread,
	}
	if !j.sentAt.steady.IsZero() {
		fields = append(fields, "SentMsAgo", now.since(j.sentAt).Milliseconds(), "Unacked", j.unacked)
	}
	return fields
}

// recordLeftBeforeSend logs and counts a caller that left while its request waited.
func (j *job) recordLeftBeforeSend(grant *dispatch.Grant) {
	j.entry.Metrics.Count("CallerLeftBeforeSend")
	fields := append([]any{
		"Request", j.id, "Target", grant.Target, "Noticed", j.r.Context().Err() != nil,
		"TookMs", time.Since(j.startedAt).Milliseconds(),
	}, j.ageFields()...)
	j.entry.DecisionLog.Record(notableKind, "Caller left before its request was sent", fields...)
}

// recordSendError keeps what an attempt that broke off tells of the way to the
// target.
func (j *job) recordSendError(err error) { j.unacked = connpool.Unacked(err) }
