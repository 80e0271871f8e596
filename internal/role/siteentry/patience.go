package siteentry

import (
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"egretproxy/internal/exchange/connpool"
	"egretproxy/internal/exchange/dispatch"
	"egretproxy/internal/kernel/httpserver"
)

// arrivalResolution is the precision of the time since the last bytes of a socket
// arrived: one tick of a system clock of 100 Hz.
const arrivalResolution = 10 * time.Millisecond

// errOutlived means that a request is too old to be sent to a target.
var errOutlived = errors.New("caller no longer waits")

// stamp checks that the caller still waits, by clocks that are read here, and sets
// the time that the target has. It comes last before a request is written: the
// process or its instance may have stood still since any earlier check, and the end
// of the caller's connection may not have arrived.
func (j *job) stamp(out *connpool.Request, grant *dispatch.Grant) error {
	now := j.entry.now()
	unread := j.unread(now)
	left := j.deadline.Sub(now.steady) - now.suspended(j.readAt) - unread
	if left <= 0 || j.route.Patience > 0 && j.silentFor(now, unread) >= j.route.Patience {
		j.outlived = true
		j.entry.Metrics.Count("TooOldToSend")
		fields := append([]any{"Request", j.id, "Target", grant.Target, "LeftMs", left.Milliseconds(), "Sent", j.sent, "Events", j.events()}, j.ageFields()...)
		j.entry.DecisionLog.Record(notableKind, "Request is too old to be sent", fields...)
		return errOutlived
	}
	j.sentAt = now
	out.Header[j.entry.Settings.Headers.Deadline] = []string{strconv.FormatInt(left.Milliseconds(), 10)}
	return nil
}

// unread returns how long the request had waited at the caller's socket when its
// header was read. It is 0 if that is not known, or for a body that came later.
func (j *job) unread(now moment) time.Duration {
	arrived := httpserver.ArrivedFrom(j.r).Data
	return max(arrived-now.steady.Sub(j.readAt.steady)-arrivalResolution, 0)
}

// silentFor returns for how long the caller has had no event: since its request
// arrived, or since the latest event. Suspension is known since the latest attempt
// only, and may lie before that event; the caller saw a pause of that length too.
func (j *job) silentFor(now moment, unread time.Duration) time.Duration {
	if j.stream == nil || j.stream.events == 0 {
		return now.since(j.readAt) + unread
	}
	return now.steady.Sub(j.stream.lastAt) + now.suspended(j.sentAt)
}
