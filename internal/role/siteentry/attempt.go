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
	"egretproxy/internal/kernel/httpserver"
	"egretproxy/internal/site/plan"
	"egretproxy/internal/wire/bodylimit"
)

const (
	// minSilence is the shortest silence after which a repeatable request moves
	// to another target.
	minSilence = time.Second
	// silenceObjectives is that silence as a multiple of the objective.
	silenceObjectives = 2.5
	// maxBufferedBytes limits a response that is buffered whole before it is
	// forwarded, and any response without a declared length.
	maxBufferedBytes = 1 << 20
	// maxForwardedBytes limits a response with a declared length.
	maxForwardedBytes = 64 << 20
)

// attempt sends the request to one target and forwards its response. It
// returns what to do next, the outcome for the target, and whether the request
// was sent.
func (j *job) attempt(ctx context.Context, grant *dispatch.Grant) (decision, dispatch.Outcome, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	takeover := j.takeoverRequest(grant)
	timer := newSilenceTimer(cancel, j.silenceLimit(), func() bool { return j.reserveNext(ctx, takeover) })
	defer timer.stop()
	j.logSend(grant)
	response, err := j.entry.Pool.Send(ctx, grant.Address, func() (*connpool.Request, error) { return j.buildRequest(grant) })
	if err != nil {
		return j.sendFailed(err, timer.expired())
	}
	defer response.Close()
	j.recordLimit(response, grant)
	j.recordNotices(response, grant)
	if j.notRun(response) {
		if response.Unattributed {
			return j.responseFailed(errUnattributed)
		}
		response.Discard()
		j.lastError = "target declined with " + strconv.Itoa(response.Status)
		switch {
		case response.Status != http.StatusMisdirectedRequest:
		case j.requiredWeights(grant) > 0:
			return tryNext, dispatch.Outdated, true
		default:
			return tryNext, dispatch.Stale, true
		}
		return tryNext, dispatch.Rejected, true
	}
	if j.reply.Begun() && response.Status >= 300 {
		return j.notContinued(response)
	}
	if response.Status >= 500 && j.route.Repeatable() && j.canRetryElsewhere() {
		response.Discard()
		j.whole = response.Whole()
		j.mayHaveRun = true
		j.lastError = "target failed with " + strconv.Itoa(response.Status)
		return tryNext, dispatch.Failed, true
	}
	if j.isUnsigned(response) {
		return j.rejectUnsigned()
	}
	if j.route.Kind == plan.Streaming && response.Status < 300 {
		return j.forwardStream(ctx, response, timer, grant)
	}
	if response.Length > maxBufferedBytes && !hasNoBody(response.Status, j.r.Method) {
		return j.forwardLong(response, timer, grant)
	}
	return j.forwardBuffered(response, grant)
}

func (j *job) silenceLimit() time.Duration {
	if !j.route.Repeatable() || j.sent+1 >= j.route.MaxAttempts {
		return 0
	}
	return j.expectedTime()
}

// expectedTime is the time within which a target that works sends something.
func (j *job) expectedTime() time.Duration {
	return max(minSilence, time.Duration(silenceObjectives*float64(j.route.Objective)))
}

func (j *job) canRetryElsewhere() bool {
	return j.sent+1 < j.route.MaxAttempts && time.Until(j.deadline) > j.route.Objective/2
}

func (j *job) sendFailed(err error, silent bool) (decision, dispatch.Outcome, bool) {
	j.lastError = err.Error()
	j.recordSendError(err)
	if errors.Is(err, connpool.ErrCancelled) {
		return tryNext, dispatch.Cancelled, false
	}
	if errors.Is(err, connpool.ErrNotSent) {
		if j.r.Context().Err() != nil {
			return tryNext, dispatch.Cancelled, false
		}
		return tryNext, dispatch.Unreachable, false
	}
	j.mayHaveRun = true
	outcome := dispatch.Broken
	if j.r.Context().Err() != nil || !silent && time.Now().After(j.deadline) {
		outcome = dispatch.Cancelled
	}
	switch {
	case silent:
		j.lastError = "target was silent"
	case outcome == dispatch.Broken:
		j.brokenBy = err
	}
	if !j.route.Repeatable() {
		j.abandonSent()
		return done, outcome, true
	}
	return tryNext, outcome, true
}

// errUnattributed means that a refusal may be that of an earlier request, which
// the target has sent once more. The target may run the request.
var errUnattributed = errors.New("refusal names no request")

// notRun reports whether the target states that it did not run the request.
func (j *job) notRun(response *connpool.Response) bool {
	return response.Status == http.StatusMisdirectedRequest || response.Header.Get(j.entry.Settings.Headers.NotRun) != ""
}

// isUnsigned reports whether a success lacks the signature of its target. Its other
// bytes may be wrong as well.
func (j *job) isUnsigned(response *connpool.Response) bool {
	name := j.entry.Settings.Headers.Signature
	return name != "" && response.Status < 300 && response.Header.Get(name) == ""
}

// rejectUnsigned handles a success without a signature. The target may have run the
// request.
func (j *job) rejectUnsigned() (decision, dispatch.Outcome, bool) {
	j.mayHaveRun = true
	j.lastError = "target's success has no signature"
	j.entry.Metrics.Count("UnsignedResponse")
	if j.route.Repeatable() {
		return tryNext, dispatch.Broken, true
	}
	j.abandonSent()
	return done, dispatch.Broken, true
}

// forwardBuffered buffers the complete response before the caller sees any of
// it, so that a truncated response is never taken for a complete one.
func (j *job) forwardBuffered(response *connpool.Response, grant *dispatch.Grant) (decision, dispatch.Outcome, bool) {
	body, release, err := j.entry.Buffers.ReadAll(j.r.Context(), response.Body, maxBufferedBytes)
	defer release()
	if err == nil && !response.Framed && j.targetEnded(grant) {
		err = errTargetEnded
	}
	if err != nil {
		return j.responseFailed(err)
	}
	j.reply.Respond(func(w http.ResponseWriter) {
		copyHeader(w.Header(), response)
		if !hasNoBody(response.Status, j.r.Method) {
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		}
		w.WriteHeader(response.Status)
		_, _ = w.Write(body)
	})
	return j.responseEnded(response, grant)
}

// errTargetEnded means that a response without a length ended with its target.
var errTargetEnded = errors.Wrap(io.ErrUnexpectedEOF, "target ended")

// targetEnded reports whether the end of a response without a length may be that
// of its target: no connection to it lasts. A target that leaves does until it
// ends, and cuts the responses in progress then. The connection that tells is needed
// anyway, since such a response uses up its own.
func (j *job) targetEnded(grant *dispatch.Grant) bool {
	return j.entry.Pool.HasEnded(j.r.Context(), grant.Address)
}

// forwardLong forwards a response as it arrives. Its declared length shows the
// caller whether it is complete.
func (j *job) forwardLong(response *connpool.Response, timer *silenceTimer, grant *dispatch.Grant) (decision, dispatch.Outcome, bool) {
	if response.Length > maxForwardedBytes {
		return j.responseFailed(bodylimit.ErrTooLong)
	}
	timer.stop()
	if timer.expired() {
		return j.responseFailed(errSilent)
	}
	j.reply.Begin(response.Status, func(h http.Header) {
		copyHeader(h, response)
		h.Set("Content-Length", strconv.FormatInt(response.Length, 10))
	})
	body := sourceReader{Reader: response.Body}
	if err := j.reply.SendRest(&body); err != nil {
		if j.r.Context().Err() == nil {
			j.brokenBy = body.err
		}
		j.logEnd("Response was aborted", "ResponseLost", "Cause", err.Error())
		j.entry.Metrics.CountReason("Failed", "ResponseLost")
		j.reply.Abort()
	}
	return j.responseEnded(response, grant)
}

// sourceReader keeps the error with which a body broke off, to tell it from one of the
// connection to the caller.
type sourceReader struct {
	io.Reader
	err error
}

func (s *sourceReader) Read(b []byte) (int, error) {
	n, err := s.Reader.Read(b)
	if err != nil && err != io.EOF {
		s.err = err
	}
	return n, err
}

// responseFailed handles a response that breaks off or exceeds a limit before
// the caller received any of it. A request whose caller has part of a stream was
// repeated before, and goes to another target.
func (j *job) responseFailed(err error) (decision, dispatch.Outcome, bool) {
	j.lastError = "answer broke off: " + err.Error()
	j.mayHaveRun = true
	outcome := dispatch.Broken
	if j.r.Context().Err() != nil || time.Now().After(j.deadline) {
		outcome = dispatch.Cancelled
	}
	if outcome == dispatch.Broken {
		j.brokenBy = err
	}
	if j.reply.Begun() {
		return tryNext, outcome, true
	}
	if j.route.Repeatable() && j.route.Kind != plan.Streaming {
		return tryNext, outcome, true
	}
	j.abandonSent()
	return done, outcome, true
}

func (j *job) responseEnded(response *connpool.Response, grant *dispatch.Grant) (decision, dispatch.Outcome, bool) {
	j.whole = true
	j.recordResponse(response.Status, grant)
	if response.Status >= 500 {
		return done, dispatch.Failed, true
	}
	if response.Status < 300 {
		j.recordHarmless()
	}
	return done, dispatch.Served, true
}

// notContinued handles an answer that does not continue the stream of which the
// caller has part.
func (j *job) notContinued(response *connpool.Response) (decision, dispatch.Outcome, bool) {
	response.Discard()
	j.whole = response.Whole()
	j.mayHaveRun = true
	j.lastError = "target did not continue the stream: answered " + strconv.Itoa(response.Status)
	if response.Status >= 500 {
		return tryNext, dispatch.Failed, true
	}
	return tryNext, dispatch.Cancelled, true
}

func hasNoBody(status int, method string) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// copyHeader copies the target's response header without the hop-by-hop
// fields.
func copyHeader(h http.Header, response *connpool.Response) {
	for name, values := range response.Header {
		h[name] = values
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
	if _, ok := response.Header["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if _, ok := response.Header["Date"]; !ok {
		h["Date"] = nil
	}
}

// buildRequest returns the request for a target to which a connection has been
// established. It returns errCallerLeft if the caller has left meanwhile, errOutlived if
// it must have, errHeld if targets have ended under the request, and errStale,
// errShutOut, errStopping, errLeft or errOutdated if the state on which the target was
// chosen no longer holds.
func (j *job) buildRequest(grant *dispatch.Grant) (*connpool.Request, error) {
	if !j.mayDispatch() {
		return nil, errStale
	}
	if httpserver.CallerLeft(j.r) {
		j.recordLeftBeforeSend(grant)
		return nil, errCallerLeft
	}
	if j.verdict() != nil {
		return nil, errShutOut
	}
	if j.comesTooLate() {
		return nil, errStopping
	}
	if !grant.Valid() {
		return nil, errLeft
	}
	if j.minWeights() > grant.Weights && j.service.Engine != nil {
		return nil, errOutdated
	}
	out := j.outgoing(grant.Target, j.requiredWeights(grant))
	if err := j.stamp(out, grant); err != nil {
		return nil, err
	}
	if !j.passesPause() {
		return nil, errHeld
	}
	return out, nil
}

// requiredWeights returns the weights version that the target must hold, or 0
// for any. Targets compare for equality, so it is the version that the grant
// was made for.
func (j *job) requiredWeights(grant *dispatch.Grant) int64 {
	if max(j.minWeights(), j.streamWeights()) == 0 {
		return 0
	}
	return grant.Weights
}
