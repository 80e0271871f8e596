package siteentry

import (
	"strconv"

	"github.com/go-faster/errors"

	"egretproxy/internal/exchange/connpool"
	"egretproxy/internal/exchange/dispatch"
)

// errOutlived means that a request is too old to be sent to a target.
var errOutlived = errors.New("caller no longer waits")

// stamp checks that the caller still waits, by clocks that are read here, and sets
// the time that the target has. It comes last before a request is written: the
// process or its instance may have stood still since any earlier check.
func (j *job) stamp(out *connpool.Request, grant *dispatch.Grant) error {
	now := j.entry.now()
	left := j.deadline.Sub(now.steady) - now.suspended(j.readAt)
	if left <= 0 {
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
