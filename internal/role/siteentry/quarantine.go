package siteentry

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"egretproxy/internal/exchange/connpool"
	"egretproxy/internal/exchange/dispatch"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/clock"
	"egretproxy/internal/kernel/httpserver"
	"egretproxy/internal/site/evidence"
	"egretproxy/internal/site/quarantine"
	"egretproxy/internal/site/siteclient"
)

const (
	// beginEvents is the number of events from which a response counts as
	// begun. An engine may end within the first.
	beginEvents = 2
	// partHarmlessTime is how long a response must have gone on after it began to show
	// that no part of the prompt ends targets. A target may send some events before it
	// ends.
	partHarmlessTime = 250 * time.Millisecond
	// clearanceTime is how long a request that may have ended its target waits
	// for evidence against it or for it.
	clearanceTime = 500 * time.Millisecond
	// reportDelay combines what exchanges that end together show.
	reportDelay = 20 * time.Millisecond
	// maxReports limits the reports in progress.
	maxReports = 8
	// minVerdictRetryAfter applies to requests that are shut out while a test is
	// due.
	minVerdictRetryAfter = time.Second
)

// errShutOut means that the request, or parts of its prompt, end targets.
var errShutOut = errors.New("the request, or parts of its prompt, are shut out, since targets ended with them")

// errSuspect means that the request may have ended its target.
var errSuspect = errors.New("the request, or parts of its prompt, are suspected to have ended the target")

// Keepers passes evidence on to the keepers.
type Keepers interface {
	Report(ctx context.Context, r evidence.Report) error
	TakeTest(ctx context.Context, v *siteclient.Verdict, holder string) bool
}

// reportEvidence sends what the witness collects until the context ends.
func (e *Entry) reportEvidence(ctx context.Context) {
	slots := make(chan struct{}, maxReports)
	for ctx.Err() == nil {
		report, more := e.witness.Take()
		if !report.Empty() {
			slots <- struct{}{}
			go func() {
				defer func() { <-slots }()
				e.report(ctx, report)
			}()
		}
		select {
		case <-ctx.Done():
		case <-more:
			clock.Sleep(ctx, reportDelay)
		}
	}
}

func (e *Entry) report(ctx context.Context, r evidence.Report) {
	if err := e.Keepers.Report(ctx, r); err != nil && ctx.Err() == nil {
		klog.InfoS("Failed to report evidence", "Ends", len(r.Ends), "Begun", len(r.Begun), "Error", err.Error())
	}
}

// OnSuspects applies the parts of prompts and the requests that keepers suspect.
func (e *Entry) OnSuspects(suspects map[id.PromptPart]time.Time) { e.witness.SetSuspects(suspects) }

// verdicts returns the verdicts in a view.
func verdicts(v *siteclient.View) []quarantine.Verdict {
	var out []quarantine.Verdict
	for i := range v.Quarantine {
		out = append(out, v.Quarantine[i].Verdict)
	}
	return out
}

// verdict returns the newest verdict that shuts the request out, or nil. A verdict on
// parts does not concern a request that showed its own to be harmless, and none concerns
// its test.
func (j *job) verdict() *siteclient.Verdict {
	if j.tests {
		return nil
	}
	for _, v := range slices.Backward(j.matchingVerdicts()) {
		if v.OnRequest() || !j.harmless {
			return v
		}
	}
	return nil
}

// matchingVerdicts returns all verdicts that match the request, oldest first.
func (j *job) matchingVerdicts() []*siteclient.Verdict {
	var out []*siteclient.Verdict
	all := j.entry.Views.View().Quarantine
	for i := range all {
		if all[i].Matches(j.marks) {
			out = append(out, &all[i])
		}
	}
	return out
}

// shutOut reports whether the request must not be sent to a target. If a test of
// the verdict is due, one request at a time looks for a target, to become that test.
func (j *job) shutOut() bool {
	v := j.verdict()
	if v == nil {
		j.leaveTest()
		return false
	}
	if j.mayTest(v) && (j.testing || j.entry.testing.CompareAndSwap(false, true)) {
		j.testing = true
		return false
	}
	j.shutOutBy = v
	return true
}

// mayTest reports whether the request may test the verdict now. One that another verdict
// matches as well, or that ends targets by itself, would show nothing about this one.
func (j *job) mayTest(v *siteclient.Verdict) bool {
	if !v.OnRequest() && j.entry.witness.RequestHeld(j.digest) > 0 {
		return false
	}
	if len(j.matchingVerdicts()) > 1 || v.Age() < v.TestInterval() || j.entry.Keepers == nil {
		return false
	}
	return j.sent == 0
}

// takeTest takes the test of a verdict that matches the request, if any, once a target is
// granted: a test that is counted is sent. It reports whether the request may be sent.
func (j *job) takeTest(ctx context.Context) bool {
	defer j.leaveTest()
	v := j.verdict()
	if v == nil {
		return true
	}
	if j.testing && j.mayTest(v) && ctx.Err() == nil && !httpserver.CallerLeft(j.r) {
		j.tests = j.entry.Keepers.TakeTest(ctx, v, j.entry.Settings.Name+" "+j.id)
	}
	if !j.tests {
		j.shutOutBy = v
		return false
	}
	j.entry.Metrics.Count("VerdictTested")
	j.entry.DecisionLog.Record(failureKind, "Request tests a verdict", "Request", j.id,
		"Verdict", v.Parts, "Number", v.Tests+1)
	return true
}

// leaveTest lets other requests test verdicts.
func (j *job) leaveTest() {
	if j.testing {
		j.testing = false
		j.entry.testing.Store(false)
	}
}

// mayHaveEndedTarget reports whether the target of the latest attempt ended before the
// response showed the parts of the prompt to be harmless, so that one may be the reason.
func (j *job) mayHaveEndedTarget() bool {
	return j.brokenBy != nil && !j.harmless && len(j.parts) > 0 && endsExchange(j.brokenBy)
}

// recordBreak tells the witness that the target ended under the request, if it did,
// and with which parts unless the response showed them to be harmless.
func (j *job) recordBreak(grant *dispatch.Grant) {
	if j.brokenBy == nil || !endsExchange(j.brokenBy) || j.livesOn(grant) {
		return
	}
	j.entry.witness.RequestEnded(grant.Target, grant.Born, j.digest, j.attemptAt)
	if !j.begunAt.IsZero() && !j.harmless {
		j.entry.witness.EndedBegun(grant.Target, grant.Born, j.parts)
	}
	if !j.begunAt.IsZero() || len(j.parts) == 0 {
		j.entry.DecisionLog.Record(notableKind, "Target ended under the request", "Request", j.id, "Target", grant.Target,
			"Parts", j.parts, "Digest", j.digest, "Events", j.events())
		return
	}
	j.entry.Metrics.Count("TargetEndedBeforeResponse")
	j.entry.DecisionLog.Record(notableKind, "Target ended before the response began", "Request", j.id, "Target", grant.Target,
		"Parts", j.parts, "Digest", j.digest)
	j.entry.witness.Ended(grant.Target, grant.Born, j.parts)
}

// endsExchange reports whether an error shows that the peer ended, rather than
// that the way to it was cut or that its bytes are no response.
func endsExchange(err error) bool {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, connpool.ErrStaleConnection) {
		return false
	}
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// recordBegin tells the witness that the response of the latest attempt began. Later
// calls for it have no effect.
func (j *job) recordBegin() {
	if j.begunAt.IsZero() {
		j.begunAt = time.Now()
		j.entry.witness.Begun(j.parts)
	}
}

// recordHarmless tells the witness that the response of the latest attempt is whole or
// has gone on for partHarmlessTime. Later calls for it have no effect.
func (j *job) recordHarmless() {
	if j.harmless {
		return
	}
	j.recordBegin()
	j.harmless = true
	j.entry.witness.Harmless(j.parts)
}

// awaitClearance waits until it is known whether the request may have ended its
// target, and returns an error if it must not go to another one.
func (j *job) awaitClearance(ctx context.Context) error {
	if err := j.suspectRequest(); err != nil || !j.mayHaveEndedTarget() {
		return err
	}
	if j.tests {
		return errSuspect
	}
	if !j.begunAt.IsZero() {
		return nil
	}
	began := time.Now()
	for !j.entry.witness.Known(j.parts) || j.entry.witness.Suspected(j.parts) {
		if j.verdict() != nil {
			return errShutOut
		}
		if time.Since(began) >= clearanceTime {
			break
		}
		if !clock.Sleep(ctx, pollInterval) {
			return ctx.Err()
		}
	}
	if j.entry.witness.Suspected(j.parts) {
		return errSuspect
	}
	return nil
}

// verdictRetryAfter returns the time until the next test of the verdict.
func verdictRetryAfter(v *siteclient.Verdict) time.Duration {
	return max(v.TestInterval()-v.Age(), minVerdictRetryAfter) + rand.N(retryAfterJitter)
}
