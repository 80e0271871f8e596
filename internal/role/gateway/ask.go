package gateway

import (
	"strconv"
	"strings"
	"time"

	"egretproxy/internal/exchange/dispatch"
	"egretproxy/internal/fleet/id"
)

const (
	// waitPart is the part of the objective that a request may wait for a
	// target whose time to the first event is not known.
	waitPart = 0.5
	// lateWait is how long a request whose objective has passed may wait.
	lateWait = 50 * time.Millisecond
	// returnedWait is how long a caller that came back may wait. It has
	// missed its objective, and a second refusal would lose it.
	returnedWait = 1200 * time.Millisecond
)

func (j *job) ask() *dispatch.Request {
	return &dispatch.Request{
		Service: j.service.Name, Regions: common(j.regions), Priority: j.priority,
		MaxWait: j.patience(), Late: j.late(), MinWeights: max(j.minWeights(), j.begunWeights()), Exclude: j.tried,
		PromptTokens: j.prompt(), Interrupted: j.sent > 0, NextMinWeights: j.soonWeights(),
	}
}

// nowhere is the name of no region. It keeps a list without common regions
// from meaning everywhere.
const nowhere id.Region = "-"

// prompt returns the tokens that an engine must read first.
func (j *job) prompt() int {
	if j.service.Engine == nil {
		return 0
	}
	field, _, _ := strings.Cut(j.r.Header.Get(j.g.Settings.Dialect.Usage), ",")
	n, err := strconv.Atoi(strings.TrimSpace(field))
	if err != nil || n < 0 {
		return int(j.service.Engine.UsualPrompt)
	}
	return n
}

// common returns the regions that all lists hold.
func common(lists [][]id.Region) []id.Region {
	if len(lists) < 2 {
		if len(lists) == 0 {
			return nil
		}
		return lists[0]
	}
	out := []id.Region{nowhere}
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
	j.g.raiseFloor(j.view)
	return j.g.floor.of(j.service.Engine.Model)
}

func (j *job) soonWeights() int64 {
	if j.service.Engine == nil {
		return 0
	}
	return j.g.floor.soonOf(j.service.Engine.Model)
}

// begunWeights returns the version that a stream began with, 0 for none.
func (j *job) begunWeights() int64 {
	if j.stream == nil || !j.stream.begun {
		return 0
	}
	return j.stream.weights
}

// late reports whether the objective can't be met any more, as for callers
// that come back after a refusal: they have less time left than the route
// gives.
func (j *job) late() bool {
	return j.returned || time.Since(j.began) > j.route.Objective
}

// patience returns how long the request may wait for a target now.
func (j *job) patience() time.Duration {
	if j.returned || j.g.settling.young() {
		return min(returnedWait, time.Until(j.deadline)/2)
	}
	begin := j.g.Board.TimeToFirstEvent(j.service.Name)
	if begin == 0 {
		begin = time.Duration(float64(j.route.Objective) * (1 - waitPart))
	}
	left := j.route.Objective - begin - time.Since(j.began)
	return min(max(left, lateWait), time.Until(j.deadline))
}
