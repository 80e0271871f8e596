package siteentry

import (
	"strconv"
	"strings"
	"time"

	"egretproxy/internal/exchange/dispatch"
	"egretproxy/internal/fleet/id"
)

const (
	// maxWaitShare is the fraction of the objective that a request may wait for
	// a target whose time to the first event is unknown.
	maxWaitShare = 0.5
	// minWait is how long a request may wait after its objective has passed.
	minWait = 50 * time.Millisecond
	// retriedWait is how long a retried request may wait. It has already missed
	// its objective, and a second refusal would fail it for good.
	retriedWait = 1200 * time.Millisecond
)

func (j *job) dispatchRequest() *dispatch.Request {
	newer, startBy := j.nextStart()
	return &dispatch.Request{
		Service: j.service.Name, Regions: commonRegions(j.regions), Priority: j.priority,
		MaxWait: j.maxWait(), Late: j.late(), MinWeights: max(j.minWeights(), j.streamWeights()), Exclude: j.tried,
		PromptTokens: j.promptTokens(), Interrupted: j.sent > 0, NextMinWeights: j.nextMinWeights(),
		NewerWeights: newer, StartBy: startBy, Expected: j.entry.answers.Expect(j.route.Name, j.lengthHint()),
	}
}

// lengthHint returns the number of response tokens that the caller expects, 0 if
// unknown.
func (j *job) lengthHint() int {
	n, err := strconv.Atoi(j.r.Header.Get(j.entry.Settings.Headers.LengthHint))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// recordAnswer records how long a target took for the whole response.
func (j *job) recordAnswer() {
	if j.service.Engine != nil && j.sent == 0 {
		j.entry.answers.Add(j.route.Name, j.lengthHint(), time.Since(j.attemptAt))
	}
}

// noRegion matches no region. An empty list would mean every region, so lists
// without a common region yield noRegion.
const noRegion id.Region = "-"

// promptTokens returns the number of prompt tokens that an engine must
// prefill. It is taken from the usage header, or from the service's mean.
func (j *job) promptTokens() int {
	if j.service.Engine == nil {
		return 0
	}
	field, _, _ := strings.Cut(j.r.Header.Get(j.entry.Settings.Headers.Usage), ",")
	n, err := strconv.Atoi(strings.TrimSpace(field))
	if err != nil || n < 0 {
		return int(j.service.Engine.MeanPromptTokens)
	}
	return n
}

// commonRegions returns the regions that are in every list, or nil for no
// restriction.
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

// nextStart returns the next version that becomes required, and until when the
// request may start on an older one.
func (j *job) nextStart() (version int64, by time.Time) {
	if j.service.Engine == nil {
		return 0, time.Time{}
	}
	return j.entry.floor.nextStart(j.view, j.service.Engine.Model, j.entry.Settings.WeightsStart, j.entry.stableFor())
}

// streamWeights returns the weights version that the stream started with, or 0
// for none.
func (j *job) streamWeights() int64 {
	if j.stream == nil {
		return 0
	}
	return j.stream.weights
}

// late reports whether the objective can no longer be met. This includes
// callers that retry after a refusal, since they have less time left than the
// route allows.
func (j *job) late() bool {
	return j.retried || time.Since(j.startedAt) > j.route.Objective
}

// maxWait returns how long the request may wait for a target from now on.
func (j *job) maxWait() time.Duration {
	if j.retried || j.entry.startup.starting() {
		return min(retriedWait, time.Until(j.deadline)/2)
	}
	begin := j.entry.Dispatcher.TimeToFirstEvent(j.service.Name)
	if begin == 0 {
		begin = time.Duration(float64(j.route.Objective) * (1 - maxWaitShare))
	}
	remaining := j.route.Objective - begin - time.Since(j.startedAt)
	return min(max(remaining, minWait), time.Until(j.deadline))
}
