package siteentry

import (
	"net/http"
	"time"

	"egretproxy/internal/exchange/connpool"
	"egretproxy/internal/exchange/dispatch"
)

const (
	// leavingValue is the value of the header of targets that leave.
	leavingValue = "1"
	// maxPauseSeconds limits a pause that a target asks for. Longer ones can't be
	// meant.
	maxPauseSeconds = 3600
)

// recordNotices takes what a target asks of this entry from its response: no more
// requests, since it leaves, or none for a while. 421 comes from another target.
func (j *job) recordNotices(response *connpool.Response, grant *dispatch.Grant) {
	if response.Status == http.StatusMisdirectedRequest {
		return
	}
	if response.Header.Get(j.entry.Settings.Headers.Leaving) == leavingValue && grant.RecordLeaving() {
		j.entry.Metrics.CountReason("TargetNotice", "Leaving")
		j.entry.DecisionLog.Record(failureKind, "Target leaves", "Target", grant.Target, "Request", j.id, "Status", response.Status)
	}
	if response.Status != http.StatusServiceUnavailable {
		return
	}
	text := response.Header.Get("Retry-After")
	seconds, ok := parseNonNegative(text)
	if text != "" && !ok {
		j.entry.Metrics.Count("InvalidRetryAfter")
	}
	if !ok || seconds <= 0 {
		return
	}
	pause := time.Duration(min(seconds, maxPauseSeconds) * float64(time.Second))
	if grant.RecordPause(pause) {
		j.entry.Metrics.CountReason("TargetNotice", "Pause")
		j.entry.DecisionLog.Record(failureKind, "Target asks for a pause", "Target", grant.Target, "Request", j.id, "PauseMs", pause.Milliseconds())
	}
}
