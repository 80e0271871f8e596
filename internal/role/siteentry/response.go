package siteentry

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"egretproxy/internal/exchange/dispatch"
	"egretproxy/internal/kernel/decisionlog"
	"egretproxy/internal/kernel/httpserver"
	"egretproxy/internal/site/plan"
)

const (
	usualKind   = decisionlog.Usual
	notableKind = decisionlog.Notable
	failureKind = decisionlog.Failure
)

const (
	// minRetryAfter and retryAfterJitter randomise Retry-After, so that refused
	// callers do not all return at the same time.
	minRetryAfter    = 700 * time.Millisecond
	retryAfterJitter = time.Second
	// minOutageRetryAfter and outageRetryAfterJitter apply to refusals while
	// nothing can be served. Keepers and targets take about two seconds to
	// recover.
	minOutageRetryAfter    = 1400 * time.Millisecond
	outageRetryAfterJitter = 600 * time.Millisecond
	// stopRetryAfter applies to refusals by a process that stops, since the
	// others can serve the request at once.
	stopRetryAfter = 20 * time.Millisecond
)

var outcomeNames = map[dispatch.Outcome]string{
	dispatch.Served: "Served", dispatch.Cancelled: "Cancelled", dispatch.Failed: "Failed",
	dispatch.Unreachable: "Unreachable", dispatch.Broken: "Broken",
	dispatch.Rejected: "Rejected", dispatch.Stale: "Stale",
	dispatch.Outdated: "Outdated",
}

// refuse responds with 503 and a Retry-After. The response states that the
// request has not run and never will.
func (j *job) refuse(reason, text string) {
	j.reply.RequireNothing()
	if j.entry.stop.ended() {
		reason = "Stopping"
	}
	after := minRetryAfter + rand.N(retryAfterJitter)
	switch reason {
	case "NoPlan", "Stale", "NoTarget":
		after = minOutageRetryAfter + rand.N(outageRetryAfterJitter)
	case "Stopping":
		after = stopRetryAfter
	case "EndsTargets":
		after = j.heldFor
	case "ShutOut":
		after = verdictRetryAfter(j.shutOutBy)
	}
	j.entry.Metrics.CountReason("Refused", reason)
	header := http.Header{"Retry-After": {strconv.FormatFloat(after.Seconds(), 'f', 3, 64)}}
	j.writeError(http.StatusServiceUnavailable, reason, text, header)
}

// refuseBody responds to a request whose body was not taken. The response states that
// the request has not run and never will.
func (j *job) refuseBody(r httpserver.Refusal) {
	if r.Status == http.StatusServiceUnavailable {
		j.refuse(r.Reason, "body was not taken")
		return
	}
	j.entry.Metrics.CountReason("Refused", r.Reason)
	j.writeError(r.Status, r.Reason, "body came too slowly", http.Header{"Connection": {"close"}})
}

// fail responds with a status that makes no statement about later attempts.
func (j *job) fail(status int, reason, text string) {
	j.reply.RequireNothing()
	j.entry.Metrics.CountReason("Failed", reason)
	j.writeError(status, reason, text, http.Header{})
}

func (j *job) writeError(status int, reason, text string, header http.Header) {
	j.logEnd("Request was not served", reason, "Status", status, "Cause", text)
	if j.id != "" {
		header.Set(j.entry.Settings.Headers.Attempt, j.id)
	}
	j.reply.Respond(func(w http.ResponseWriter) {
		maps.Copy(w.Header(), header)
		http.Error(w, text, status)
	})
}

// recordLost records that a caller has part of a stream that is aborted.
func (j *job) recordLost() {
	j.logEnd("Stream was aborted", "StreamLost", "Cause", j.lastError)
	j.entry.Metrics.CountReason("Failed", "StreamLost")
}

// abandon ends a request for which no further target is tried. The connection is
// aborted if the caller has left or already has part of a stream.
func (j *job) abandon(ctx context.Context, err error) {
	if httpserver.CallerLeft(j.r) {
		j.abortCallerLeft()
		return
	}
	if j.mayHaveRun {
		j.abandonSent()
		return
	}
	reason := "NoTarget"
	switch {
	case err == errStopping:
		reason = "Stopping"
	case ctx.Err() != nil, j.outlived:
		reason = "Deadline"
	case err == errStale:
		reason = "Stale"
	case err == errShutOut && j.shutOutBy != nil:
		reason = "ShutOut"
	case err == errHeld:
		reason = "EndsTargets"
	case err == dispatch.ErrFull:
		reason = "Full"
	case j.sent > 0:
		reason = "Declined"
	}
	j.refuse(reason, err.Error())
}

// abandonSent ends a request that a target may have run.
func (j *job) abandonSent() {
	if httpserver.CallerLeft(j.r) {
		j.abortCallerLeft()
		return
	}
	if j.outlived || time.Now().After(j.deadline) {
		j.fail(http.StatusGatewayTimeout, "Timeout", "target did not answer in time")
		return
	}
	j.fail(http.StatusBadGateway, "OutcomeUnknown", j.lastError)
}

func (j *job) abortCallerLeft() {
	j.logEnd("Caller left", "CallerLeft", j.ageFields()...)
	j.entry.Metrics.Count("CallerLeft")
	j.reply.Abort()
}

// logEnd logs a request that ended without a response from a target.
func (j *job) logEnd(msg, reason string, args ...any) {
	kind := failureKind
	if reason == "CallerLeft" {
		kind = notableKind
	}
	fields := append([]any{"Request", j.id, "Reason", reason}, args...)
	if reason == "Full" || reason == "NoTarget" {
		s := j.entry.Dispatcher.Summary(j.service.Name)
		fields = append(fields, "Service", j.service.Name, "Targets", s.Targets, "Out", s.Ineligible, "Closed", s.Closed,
			"Ejected", s.Ejected, "Unshared", s.Unshared, "Paused", s.Paused, "Waiting", s.Waiting, "LeastBusy", s.MinInFlight, "MinWeights", j.minWeights())
	}
	if v := j.shutOutBy; v != nil {
		fields = append(fields, "Verdict", v.Parts, "Ends", v.Ends, "Tests", v.Tests, "VerdictMsAgo", v.Age().Milliseconds())
	}
	fields = append(fields, "Target", j.target, "Route", routeName(j.route), "Sent", j.sent, "Tried", j.tried,
		"Events", j.events(), "Parts", j.parts, "MayHaveRun", j.mayHaveRun, "WaitedMs", j.waited.Milliseconds(),
		"TookMs", time.Since(j.startedAt).Milliseconds(), "ConfirmedMsAgo", j.entry.Views.Age().Milliseconds(),
		"Plan", planVersion(j.view.Plan))
	j.entry.DecisionLog.Record(kind, msg, fields...)
}

func routeName(r *plan.Route) string {
	if r == nil {
		return ""
	}
	return r.Name
}

func planVersion(p *plan.Plan) plan.Version {
	if p == nil {
		return 0
	}
	return p.Version
}

// logSend logs the target chosen for a request that waited or was sent before.
func (j *job) logSend(grant *dispatch.Grant) {
	if grant.Waited == 0 && j.sent == 0 {
		return
	}
	j.entry.DecisionLog.Record(notableKind, "Target was chosen", "Request", j.id, "Target", grant.Target,
		"Busy", grant.InFlight, "ReportMsAgo", grant.ReportAge.Milliseconds(), "WaitedMs", grant.Waited.Milliseconds())
}

// recordResponse logs and counts a response from a target. Server errors are
// logged as failures, missed objectives as notable.
func (j *job) recordResponse(status int, grant *dispatch.Grant) {
	took := time.Since(j.startedAt)
	j.entry.Metrics.CountReason("Answered", strconv.Itoa(status/100)+"xx")
	j.entry.Metrics.Observe("Answer", took)
	kind := usualKind
	if status >= 500 {
		kind = failureKind
	}
	var first, gap time.Duration
	events := 0
	if j.stream != nil {
		first, gap, events = j.stream.firstEvent, j.stream.maxGap, j.stream.events
	}
	if first > j.route.Objective || j.route.EventGap > 0 && gap > j.route.EventGap {
		kind = max(kind, notableKind)
	}
	j.entry.DecisionLog.Record(kind, "Request was answered", "Request", j.id, "Status", status, "Target", grant.Target,
		"Route", routeName(j.route), "Returned", j.retried, "Busy", grant.InFlight, "ReportMsAgo", grant.ReportAge.Milliseconds(),
		"WaitedMs", j.waited.Milliseconds(), "TookMs", took.Milliseconds(), "Sent", j.sent+1,
		"FirstMs", first.Milliseconds(), "GapMs", gap.Milliseconds(), "Events", events, "Slowdown", grant.Slowdown, "Plan", planVersion(j.view.Plan))
	if grant.Slowdown > 1 {
		j.entry.Metrics.CountReason("AnsweredBySlow", strconv.Itoa(status/100)+"xx")
	}
}
