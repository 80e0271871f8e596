package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"egretproxy/internal/exchange/dispatch"
	"egretproxy/internal/exchange/lines"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/plan"
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
	// silenceFloor is the shortest silence after which a repeatable request
	// goes to another target.
	silenceFloor = time.Second
	// silenceFactor is that silence in objectives.
	silenceFactor = 2.5
	// maxDials bounds the targets that take no connection.
	maxDials = 4
	// maxBuffered bounds an answer that is read whole before it is passed on.
	maxBuffered = 1 << 20
)

// verdict tells what to do after one attempt.
type verdict uint8

const (
	// done means that the caller has its final answer.
	done verdict = iota
	// again means that another target may be tried.
	again
)

// run sends the request to targets until one answers.
func (j *job) run(ctx context.Context) {
	j.g.Retries.Request(j.service.Name)
	dials := 0
	for {
		ask := j.ask()
		grant, err := j.acquire(ctx, ask)
		if err == dispatch.ErrNoTarget && j.sent == 0 && j.pause(ctx) {
			continue
		}
		if err != nil {
			j.giveUp(ctx, err)
			return
		}
		j.waited += grant.Waited
		if !j.mayDispatch() {
			grant.End(dispatch.Cancelled)
			j.giveUp(ctx, errStale)
			return
		}
		if j.minWeights() > ask.MinWeights {
			// A newer version became due during the wait.
			grant.End(dispatch.Cancelled)
			continue
		}
		j.target = grant.Target
		v, outcome, sent := j.try(ctx, grant)
		if v == done {
			j.releaseNext()
			return
		}
		j.tried = append(j.tried, grant.Target)
		if sent {
			j.sent++
		} else if dials++; dials >= maxDials {
			j.giveUp(ctx, errors.New("targets take no connection"))
			return
		}
		if !j.mayRetry(ctx, sent) {
			j.releaseNext()
			j.giveUp(ctx, errors.New(j.last))
			return
		}
		j.g.Metrics.CountReason("Retry", outcomeNames[outcome])
		j.g.Trail.Note(notableKind, "Request goes to another target", "Request", j.id, "After", grant.Target, "Reason", j.last, "Sent", j.sent)
	}
}

// try makes one attempt and gives the target's place back, also when the
// caller leaves, which ends the handler by a panic.
func (j *job) try(ctx context.Context, grant *dispatch.Grant) (v verdict, outcome dispatch.Outcome, sent bool) {
	outcome = dispatch.Cancelled
	returned := false
	defer func() {
		if grant.End(outcome) {
			j.g.Metrics.CountReason("TargetEjected", outcomeNames[outcome])
			j.g.Trail.Note(failureKind, "Target is left out for a while", "Target", grant.Target, "Reason", outcomeNames[outcome])
			j.g.Pool.Forget(grant.Address)
		}
		if !returned {
			j.releaseNext()
		}
	}()
	v, outcome, sent = j.attempt(ctx, grant)
	returned = true
	return v, outcome, sent
}

var (
	errStale    = errors.New("configuration is not confirmed")
	errOutdated = errors.New("target's weights are no longer permitted")
)

// mayDispatch looks again at what may have changed during a wait or a
// freeze: a key must not be used after its revocation.
func (j *job) mayDispatch() bool {
	return j.tenant == nil || j.confirmed()
}

// mayRetry reports whether a further target may be tried.
func (j *job) mayRetry(ctx context.Context, sent bool) bool {
	if ctx.Err() != nil {
		return false
	}
	if !sent {
		return true
	}
	if j.sent >= max(j.route.MaxAttempts, 1) {
		return false
	}
	if j.reserved.Swap(false) {
		return true
	}
	if !j.g.Retries.Take(j.service.Name, j.view.Entries) {
		j.g.Metrics.CountReason("RetryRefused", "Budget")
		j.last += ", and the retry budget is spent"
		return false
	}
	return true
}

// releaseNext gives a secured target back.
func (j *job) releaseNext() {
	if g := j.next.Swap(nil); g != nil {
		g.End(dispatch.Cancelled)
	}
}

// acquire returns the target that was secured for the next attempt, or waits
// for one.
func (j *job) acquire(ctx context.Context, ask *dispatch.Ask) (*dispatch.Grant, error) {
	if g := j.next.Swap(nil); g != nil {
		return g, nil
	}
	return j.g.Board.Acquire(ctx, ask)
}

// takeover returns the wish for a target that goes on where a silent one
// stopped. It must be able to begin at once.
func (j *job) takeover(silent *dispatch.Grant) *dispatch.Ask {
	ask := j.ask()
	ask.MaxWait, ask.Moved, ask.MinWeights = 0, true, max(ask.MinWeights, silent.Weights)
	ask.Exclude = append(slices.Clone(j.tried), silent.Target)
	return ask
}

// secure takes a retry out of the budget and a place at another target, so
// that an attempt is given up only for one that can begin at once. A retry
// that was taken stays reserved.
func (j *job) secure(ctx context.Context, ask *dispatch.Ask) bool {
	if !j.reserved.Load() {
		if !j.g.Retries.Take(j.service.Name, j.view.Entries) {
			return false
		}
		j.reserved.Store(true)
	}
	next, err := j.g.Board.Acquire(ctx, ask)
	if err != nil {
		return false
	}
	j.next.Store(next)
	return true
}

func (j *job) ask() *dispatch.Ask {
	return &dispatch.Ask{
		Service: j.service.Name, Regions: common(j.regions), Priority: j.priority,
		MaxWait: j.patience(), Late: j.late(), MinWeights: max(j.minWeights(), j.begunWeights()), Exclude: j.tried,
		Prompt: j.prompt(), Moved: j.sent > 0, SoonWeights: j.soonWeights(),
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

// build returns the request for a target whose connection stands now, if the
// beliefs that chose the target still hold.
func (j *job) build(grant *dispatch.Grant) (*lines.Request, error) {
	if !j.mayDispatch() {
		return nil, errStale
	}
	if j.minWeights() > grant.Weights && j.service.Engine != nil {
		return nil, errOutdated
	}
	return j.outgoing(grant.Target, j.requiredWeights(grant)), nil
}

// requiredWeights returns the version that the target must hold, 0 for any.
// Targets compare for equality, so it is the one that it was chosen for.
func (j *job) requiredWeights(grant *dispatch.Grant) int64 {
	if max(j.minWeights(), j.begunWeights()) == 0 {
		return 0
	}
	return grant.Weights
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
	begin := j.g.Board.Begin(j.service.Name)
	if begin == 0 {
		begin = time.Duration(float64(j.route.Objective) * (1 - waitPart))
	}
	left := j.route.Objective - begin - time.Since(j.began)
	return min(max(left, lateWait), time.Until(j.deadline))
}

// attempt sends the request to one target and passes its answer on.
func (j *job) attempt(ctx context.Context, grant *dispatch.Grant) (verdict, dispatch.Outcome, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	takeover := j.takeover(grant)
	silent := newSilence(cancel, j.silenceLimit(), func() bool { return j.secure(ctx, takeover) })
	defer silent.stop()
	j.logSend(grant)
	a, err := j.g.Pool.Send(ctx, grant.Address, func() (*lines.Request, error) { return j.build(grant) })
	if err != nil {
		return j.sendFailed(err, silent.hit())
	}
	defer a.Close()
	if j.notRun(a) {
		drainBody(a)
		j.last = "target declined with " + strconv.Itoa(a.Status)
		if a.Status == http.StatusMisdirectedRequest {
			return again, dispatch.Stale, true
		}
		return again, dispatch.Rejected, true
	}
	if a.Status >= 500 && j.route.Repeatable() && j.canTryElsewhere() {
		drainBody(a)
		j.mayHaveRun = true
		j.last = "target failed with " + strconv.Itoa(a.Status)
		return again, dispatch.Failed, true
	}
	if j.route.Kind == plan.Streaming && a.Status < 300 {
		return j.passStream(ctx, a, silent, grant)
	}
	return j.passWhole(a, grant)
}

func (j *job) silenceLimit() time.Duration {
	if !j.route.Repeatable() || j.sent+1 >= j.route.MaxAttempts {
		return 0
	}
	return max(silenceFloor, time.Duration(silenceFactor*float64(j.route.Objective)))
}

func (j *job) canTryElsewhere() bool {
	return j.sent+1 < j.route.MaxAttempts && time.Until(j.deadline) > j.route.Objective/2
}

func (j *job) sendFailed(err error, silent bool) (verdict, dispatch.Outcome, bool) {
	j.last = err.Error()
	if errors.Is(err, lines.ErrWithdrawn) {
		return again, dispatch.Cancelled, false
	}
	if errors.Is(err, lines.ErrNotSent) {
		if j.r.Context().Err() != nil {
			return again, dispatch.Cancelled, false
		}
		return again, dispatch.Unreachable, false
	}
	j.mayHaveRun = true
	outcome := dispatch.Broken
	if j.r.Context().Err() != nil || !silent && time.Now().After(j.deadline) {
		outcome = dispatch.Cancelled
	}
	if silent {
		j.last = "target was silent"
	}
	if !j.route.Repeatable() {
		j.giveUpSent()
		return done, outcome, true
	}
	return again, outcome, true
}

// notRun reports whether the target states that it did not run the request.
func (j *job) notRun(a *lines.Answer) bool {
	return a.Status == http.StatusMisdirectedRequest || a.Header.Get(j.g.Settings.Dialect.NotRun) != ""
}

func drainBody(a *lines.Answer) { _, _ = io.Copy(io.Discard, io.LimitReader(a.Body, maxBuffered)) }

// passWhole reads the answer to its end before the caller sees any of it, so
// that one that breaks off is never taken for whole.
func (j *job) passWhole(a *lines.Answer, grant *dispatch.Grant) (verdict, dispatch.Outcome, bool) {
	var b bytes.Buffer
	_, err := io.Copy(&b, io.LimitReader(a.Body, maxBuffered))
	if err != nil {
		j.last = "answer broke off: " + err.Error()
		j.mayHaveRun = true
		outcome := dispatch.Broken
		if j.r.Context().Err() != nil || time.Now().After(j.deadline) {
			outcome = dispatch.Cancelled
		}
		if j.route.Repeatable() && j.route.Kind != plan.Streaming {
			return again, outcome, true
		}
		j.giveUpSent()
		return done, outcome, true
	}
	j.copyHeader(a)
	if !bodyless(a.Status, j.r.Method) {
		j.w.Header().Set("Content-Length", strconv.Itoa(b.Len()))
	}
	j.w.WriteHeader(a.Status)
	_, _ = j.w.Write(b.Bytes())
	j.answered(a.Status, grant)
	if a.Status >= 500 {
		return done, dispatch.Failed, true
	}
	return done, dispatch.Served, true
}

func bodyless(status int, method string) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// copyHeader passes the target's header on, less what concerns a connection.
func (j *job) copyHeader(a *lines.Answer) {
	h := j.w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
	if _, ok := a.Header["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if _, ok := a.Header["Date"]; !ok {
		h["Date"] = nil
	}
	if j.g.stopping.Load() {
		h.Set("Connection", "close")
	}
}
