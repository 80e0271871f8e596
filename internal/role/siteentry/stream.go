package siteentry

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

// stream is the state of a streamed response across attempts.
type stream struct {
	// lastID is the id of the latest forwarded event.
	lastID string
	// unplaced is set if the caller has events without an id after that one. A
	// second run would repeat them.
	unplaced bool
	// events counts the forwarded events.
	events int
	// weights is the version that the stream started with, 0 if unknown or if
	// the caller has no part of the stream.
	weights int64
	// firstEvent is the time to the first event, maxGap the longest pause
	// between two events.
	firstEvent, maxGap time.Duration
	lastAt             time.Time
}

// recordEvent records the time at which an event was forwarded.
func (s *stream) recordEvent(began time.Time) {
	now := time.Now()
	if s.events == 0 {
		s.firstEvent = now.Sub(began)
	} else {
		s.maxGap = max(s.maxGap, now.Sub(s.lastAt))
	}
	s.lastAt = now
}

// events returns the number of events that the caller has.
func (j *job) events() int {
	if j.stream == nil {
		return 0
	}
	return j.stream.events
}

var (
	errOutOfOrder = errors.New("target sent an event out of order")
	errSilent     = errors.New("target was silent")
	// errNotContinued means that a resumed run has no event after the last one.
	// Nothing marks the last event of a stream, so that the caller may lack some.
	errNotContinued = errors.New("target did not continue the stream")
)

// forwardStream forwards complete events as they arrive.
func (j *job) forwardStream(ctx context.Context, response *connpool.Response, timer *silenceTimer, grant *dispatch.Grant) (decision, dispatch.Outcome, bool) {
	if j.stream == nil {
		j.stream = &stream{lastID: j.r.Header.Get(j.entry.Settings.Headers.LastEvent)}
	}
	err := j.copyEvents(response, timer, grant)
	if err == nil {
		j.whole = true
		j.recordAnswer()
		j.recordResponse(response.Status, grant)
		return done, dispatch.Served, true
	}
	j.mayHaveRun = true
	j.lastError = "stream broke off: " + err.Error()
	outcome := dispatch.Broken
	switch {
	case j.r.Context().Err() != nil, errors.Is(err, errCallerLeft):
		outcome = dispatch.Cancelled
		j.givenUp = !endsExchange(err)
		j.abortCallerLeft()
		return done, outcome, true
	case timer.expired():
		j.lastError = "stream fell silent"
	case errors.Is(err, errNotContinued):
		outcome = dispatch.Cancelled
		j.whole = true
	case ctx.Err() != nil:
		outcome = dispatch.Cancelled
		j.givenUp = !endsExchange(err)
	default:
		j.brokenBy = err
	}
	if j.route.Resumable && !j.stream.unplaced {
		return tryNext, outcome, true
	}
	j.abandonSent()
	return done, outcome, true
}

var errCallerLeft = errors.New("caller left")

func (j *job) copyEvents(response *connpool.Response, timer *silenceTimer, grant *dispatch.Grant) error {
	events := sse.New(response.Body)
	resumed := j.stream.events > 0
	received := 0
	for {
		event, err := events.Next()
		if err == io.EOF && !response.Framed && (received == 0 || j.targetEnded(grant)) {
			// Nothing shows that the response is complete.
			return errTargetEnded
		}
		if err == io.EOF {
			if resumed && received == 0 {
				return errNotContinued
			}
			j.recordBegin()
			if !j.reply.Begun() {
				j.beginStream(response)
			}
			j.reply.End()
			return nil
		}
		if err != nil {
			return err
		}
		if resumed && received == 0 && !events.Event {
			// Comments alone would look like progress.
			continue
		}
		if events.Event {
			received++
			j.recordArrival(received, grant)
		}
		if !j.stream.continuedBy(events, resumed && events.Event && received == 1) {
			return errOutOfOrder
		}
		if !j.stream.unplacedAfter(events) {
			timer.reset()
		} else if timer.hold(); timer.expired() {
			return errSilent
		}
		if err := j.forwardEvent(response, events, event); err != nil {
			return err
		}
	}
}

// forwardEvent sends the event that was read last, or a comment, to the caller.
func (j *job) forwardEvent(response *connpool.Response, events *sse.Reader, event []byte) error {
	if !j.reply.Begun() {
		j.beginStream(response)
		j.stream.weights = j.servedWeights(response)
		j.entry.Metrics.Observe("FirstEvent", time.Since(j.startedAt))
	}
	if err := j.reply.Send(event); err != nil {
		return errCallerLeft
	}
	if events.Event {
		j.stream.recordEvent(j.startedAt)
		j.stream.events++
	}
	j.stream.unplaced = j.stream.unplacedAfter(events)
	if events.ID != "" {
		j.stream.lastID = events.ID
	}
	return nil
}

// beginStream sends the header of a stream.
func (j *job) beginStream(response *connpool.Response) {
	j.reply.Begin(response.Status, func(h http.Header) { copyHeader(h, response) })
}

// recordArrival records that a run has sent its first events.
func (j *job) recordArrival(received int, grant *dispatch.Grant) {
	switch received {
	case 1:
		grant.RecordFirstEvent()
	case beginEvents:
		j.recordBegin()
	}
}

// continuedBy reports whether the event that was read last may come next. first is
// set for the first event of a resumed run, which only its id can place.
func (s *stream) continuedBy(events *sse.Reader, first bool) bool {
	if first && (events.ID == "" || events.ID == s.lastID) {
		return false
	}
	return follows(s.lastID, events.ID)
}

// unplacedAfter returns what unplaced is once the caller has the event that was
// read last.
func (s *stream) unplacedAfter(events *sse.Reader) bool {
	return events.ID == "" && (events.Event || s.unplaced)
}

// servedWeights returns the weights version that served the response, or 0 if
// unknown.
func (j *job) servedWeights(response *connpool.Response) int64 {
	v, err := strconv.ParseInt(response.Header.Get(j.entry.Settings.Headers.ServedWeights), 10, 64)
	if err != nil {
		return 0
	}
	return v
}

// follows reports whether an event may come after the last one. Integer ids
// must increase.
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
