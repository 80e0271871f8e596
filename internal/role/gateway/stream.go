package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"egretproxy/internal/exchange/connpool"
	"egretproxy/internal/exchange/dispatch"
	"egretproxy/internal/exchange/sse"
)

// stream is an answer of events that was begun.
type stream struct {
	// last is the id of the newest event passed on.
	last string
	// events counts those passed on.
	events int
	// begun tells that the caller has the header.
	begun bool
	// weights is the version that it began with, 0 if unknown.
	weights int64
	// first is the time to the first event, gap the longest pause after it.
	first, gap time.Duration
	at         time.Time
}

// pace notes when an event passed.
func (s *stream) pace(began time.Time) {
	now := time.Now()
	if s.events == 0 {
		s.first = now.Sub(began)
	} else {
		s.gap = max(s.gap, now.Sub(s.at))
	}
	s.at = now
}

var errOutOfOrder = errors.New("target sent an event out of order")

// passStream passes events on as they arrive, whole ones only.
func (j *job) passStream(ctx context.Context, a *connpool.Response, silent *silence, grant *dispatch.Grant) (verdict, dispatch.Outcome, bool) {
	if j.stream == nil {
		j.stream = &stream{last: j.r.Header.Get(j.g.Settings.Dialect.LastEvent)}
	}
	err := j.copyEvents(a, silent, grant)
	if err == nil {
		j.answered(a.Status, grant)
		return done, dispatch.Served, true
	}
	j.mayHaveRun = true
	j.last = "stream broke off: " + err.Error()
	outcome := dispatch.Broken
	switch {
	case j.r.Context().Err() != nil, errors.Is(err, errCallerLeft):
		outcome = dispatch.Cancelled
		j.callerLeft()
		return done, outcome, true
	case silent.hit():
		j.last = "stream fell silent"
	case ctx.Err() != nil:
		outcome = dispatch.Cancelled
	}
	if j.route.Resumable {
		return again, outcome, true
	}
	j.giveUpSent()
	return done, outcome, true
}

var errCallerLeft = errors.New("caller left")

func (j *job) copyEvents(a *connpool.Response, silent *silence, grant *dispatch.Grant) error {
	r := sse.New(a.Body)
	flush := http.NewResponseController(j.w)
	begun := false
	for {
		event, err := r.Next()
		if err == io.EOF {
			return j.endStream(a)
		}
		if err != nil {
			return err
		}
		silent.heard()
		if !begun {
			begun = true
			grant.RecordFirstEvent()
		}
		if !follows(j.stream.last, r.LastEventID) {
			return errOutOfOrder
		}
		if !j.stream.begun {
			j.stream.begun = true
			j.stream.weights = j.servedWeights(a)
			j.copyHeader(a)
			j.w.WriteHeader(a.Status)
			j.g.Metrics.Observe("FirstEvent", time.Since(j.began))
		}
		if _, err := j.w.Write(event); err != nil {
			return errCallerLeft
		}
		if err := flush.Flush(); err != nil {
			return errCallerLeft
		}
		j.stream.pace(j.began)
		j.stream.last = r.LastEventID
		j.stream.events++
	}
}

// servedWeights returns the version that an answer comes from, 0 if unknown.
func (j *job) servedWeights(a *connpool.Response) int64 {
	v, err := strconv.ParseInt(a.Header.Get(j.g.Settings.Dialect.ServedWeights), 10, 64)
	if err != nil {
		return 0
	}
	return v
}

// endStream reports whether the target's stream may be taken for whole.
func (j *job) endStream(a *connpool.Response) error {
	if j.stream.events == 0 && !j.stream.begun {
		j.stream.begun = true
		j.copyHeader(a)
		j.w.WriteHeader(a.Status)
	}
	return nil
}

// follows reports whether an event may come after the last one. Ids that are
// whole numbers grow.
func follows(last, next string) bool {
	if last == "" || next == "" {
		return true
	}
	a, errA := strconv.ParseInt(last, 10, 64)
	b, errB := strconv.ParseInt(next, 10, 64)
	if errA != nil || errB != nil {
		return true
	}
	return b > a
}
