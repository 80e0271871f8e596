package siteentry

import (
	"strconv"
	"strings"
	"time"

	"egretproxy/internal/exchange/dispatch"
	"egretproxy/internal/fleet/id"
)

const (
	// maxWaitShare is the part of the objective that a request may wait for a
	// target whose time to the first event is not known.
	maxWaitShare = 0.5
	// minWait is how long a request whose objective has passed may wait.
	minWait = 50 * time.Millisecond
	// retriedWait is how long a caller that came back may wait. It has
	// missed its objective, and a second refusal would lose it.
	retriedWait = 1200 * time.Millisecond
)

func (j *job) dispatchRequest() *dispatch.Request {
	return &dispatch.Request{
		Service: j.service.Name, Regions: commonRegions(j.regions), Priority: j.priority,
		MaxWait: j.maxWait(), Late: j.late(), MinWeights: max(j.minWeights(), j.streamWeights()), Exclude: j.tried,
		PromptTokens: j.promptTokens(), Interrupted: j.sent > 0, NextMinWeights: j.nextMinWeights(),
	}
}

// noRegion is the name of no region. It keeps a list without common regions
// from meaning everywhere.
const noRegion id.Region = "-"

// promptTokens returns the tokens that an engine must read first.
func (j *job) promptTokens() int {
	if j.service.Engine == nil {
		return 0
	}
	field, _, _ := strings.Cut(j.r.Header.Get(j.entry.Settings.Dialect.Usage), ",")
	n, err := strconv.Atoi(strings.TrimSpace(field))
	if err != nil || n < 0 {
		return int(j.service.Engine.MeanPromptTokens)
	}
	return n
}

// commonRegions returns the regions that all lists hold.
func commonRegions(lists [][]id.Region) []id.Region {
	if len(lists) < 2 {
		if len(lists) == 0 {
			return nil
		}
		return lists[0]
	}
	out := []id.Region{noRegion}
	for _, r := range lists[0] {
		for _, o := range lists[1] {
			if r == o {
				out = append(out, r)
			}
		}
	}
	return out
}

func (j *job) minWeights() int64 {
	if j.service.Engine == nil {
		return 0
	}
	j.entry.raiseWeightsFloor(j.view)
	return j.entry.floor.required(j.service.Engine.Model)
}

func (j *job) nextMinWeights() int64 {
	if j.service.Engine == nil {
		return 0
	}
	return j.entry.floor.requiredSoon(j.service.Engine.Model)
}

// streamWeights returns the version that a stream began with, 0 for none.
func (j *job) streamWeights() int64 {
	if j.stream == nil || !j.stream.headerSent {
		return 0
	}
	return j.stream.weights
}

// late reports whether the objective can't be met any more, as for callers
// that come back after a refusal: they have less time left than the route
// gives.
func (j *job) late() bool {
	return j.retried || time.Since(j.startedAt) > j.route.Objective
}

// maxWait returns how long the request may wait for a target now.
func (j *job) maxWait() time.Duration {
	if j.retried || j.entry.startup.starting() {
		return min(retriedWait, time.Until(j.deadline)/2)
	}
	begin := j.entry.Dispatcher.TimeToFirstEvent(j.service.Name)
	if begin == 0 {
		begin = time.Duration(float64(j.route.Objective) * (1 - maxWaitShare))
	}
	left := j.route.Objective - begin - time.Since(j.startedAt)
	return min(max(left, minWait), time.Until(j.deadline))
}
