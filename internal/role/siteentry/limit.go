package siteentry

import (
	"math"
	"net/http"
	"strconv"

	"egretproxy/internal/exchange/connpool"
	"egretproxy/internal/exchange/dispatch"
)

// recordLimit takes the limit from a response of a target. Failures may come from
// elsewhere than the part that names it, and 421 comes from another target.
func (j *job) recordLimit(response *connpool.Response, grant *dispatch.Grant) {
	if response.Status == http.StatusMisdirectedRequest {
		return
	}
	text := response.Header.Get(j.entry.Settings.Headers.Limit)
	perSecond, named := parseLimit(text)
	if text != "" && !named {
		j.entry.Metrics.Count("InvalidLimit")
	}
	if !named && response.Status >= http.StatusInternalServerError {
		return
	}
	if !grant.RecordLimit(perSecond, named) {
		return
	}
	j.entry.Metrics.CountReason("TargetLimitChanged", limitState(named))
	j.entry.DecisionLog.Record(failureKind, "Target limits its requests", "Target", grant.Target, "Request", j.id,
		"Named", named, "PerSecond", perSecond, "Busy", grant.InFlight)
}

func limitState(named bool) string {
	if named {
		return "Named"
	}
	return "Ended"
}

// parseLimit returns a limit in requests a second. It reports false if the text
// is none.
func parseLimit(text string) (perSecond float64, named bool) {
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil || perSecond < 0 || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) {
		return 0, false
	}
	return perSecond, true
}
