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
		NewerWeights: newer, StartBy: startBy, Answer: j.answer(),
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
	prompt, _, _ := strings.Cut(j.r.Header.Get(j.entry.Settings.Headers.Usage), ",")
	if n := tokens(prompt); n >= 0 {
		return n
	}
	return int(j.service.Engine.MeanPromptTokens)
}

// answer returns what is known of the answer to a request for an engine.
func (j *job) answer() dispatch.Answer {
	if j.service.Engine == nil {
		return dispatch.Answer{}
	}
	h := j.r.Header
	_, most, _ := strings.Cut(h.Get(j.entry.Settings.Headers.Usage), ",")
	out := dispatch.Answer{
		HintTokens: max(tokens(h.Get(j.entry.Settings.Headers.Length)), 0), MaxTokens: max(tokens(most), 0),
		DoneTokens: j.events() * j.service.Engine.StepsPerEvent, Gap: j.route.EventGap, EndDue: j.deadline,
	}
	if !j.late() {
		out.StartDue = j.startedAt.Add(j.route.Objective)
	}
	return out
}

// tokens returns the number of tokens in a field of a header, or -1 if it has none.
func tokens(field string) int {
	n, err := strconv.Atoi(strings.TrimSpace(field))
	if err != nil || n < 0 {
		return -1
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
