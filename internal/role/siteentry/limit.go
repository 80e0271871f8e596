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
	perSecond, named := parseNonNegative(text)
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

// parseNonNegative returns the number in a header. It reports false if the text is
// no finite number or a negative one.
func parseNonNegative(text string) (n float64, ok bool) {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || n < 0 || math.IsNaN(n) || math.IsInf(n, 0) {
		return 0, false
	}
	return n, true
}
