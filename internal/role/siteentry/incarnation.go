package siteentry

import (
	"egretproxy/internal/exchange/dispatch"
	"egretproxy/internal/site/incarnation"
)

// OnReport applies what an agent reports of its target's incarnation. A target that was
// taken to have ended and lives is no evidence against its requests.
func (e *Entry) OnReport(r incarnation.Report) {
	disproved, lived := e.incarnations.Observe(r)
	if !disproved {
		return
	}
	e.witness.LivesOn(r.Target, r.Born, lived)
	e.Metrics.Count("EndDisproved")
	e.DecisionLog.Record(failureKind, "Target had not ended", "Target", r.Target, "Born", r.Born, "ReportAgeMs", r.Age.Milliseconds())
}

// livesOn reports whether the target of the latest attempt is known to live although
// it broke off the exchange. The request is then as free as one that was never sent.
func (j *job) livesOn(grant *dispatch.Grant) bool {
	if j.entry.incarnations.BrokeOff(grant.Target, grant.Born) {
		return false
	}
	j.brokenBy = nil
	j.entry.Metrics.Count("RequestAbortedByLoad")
	j.entry.DecisionLog.Record(notableKind, "Target aborted the request to load weights", "Request", j.id, "Target", grant.Target, "Events", j.events())
	return true
}
