package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/zeebo/blake3"
	"k8s.io/klog/v2"

	"egretproxy/internal/control/ledger"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/request/refusal"
	"egretproxy/internal/wire/header"
)

const (
	// claimTimeout limits each call to the keepers about a claim.
	claimTimeout = 4 * time.Second
	// maxClaimAge is the age at which a granted claim may no longer be used. It
	// is far below the time for which keepers hold claims.
	maxClaimAge = 30 * time.Second
	// maxStoredResponseBytes is the size of the longest response body that is
	// stored for repeated requests.
	maxStoredResponseBytes = 16 << 10
	maxKeyBytes            = 256
)

// claim is the right to run a request that may run at most once.
type claim struct {
	key     ledger.ClaimKey
	attempt id.Request
	digest  []byte
	// grantedAt is when the claim was requested, which is no later than the
	// keepers granted it.
	grantedAt time.Time
	// settled is set when the outcome is being recorded.
	settled bool
}

// acquireClaim obtains the claim before anything else, so that a refusal can
// state with certainty that no attempt ran. It reports whether the response of
// an earlier attempt was sent instead.
func (x *exchange) acquireClaim(ctx context.Context) (*refusal.Refusal, bool) {
	if !x.atMostOnce {
		return nil, false
	}
	c, ref := x.newClaim()
	if ref != nil {
		return ref, false
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	requestedAt := time.Now()
	reply, err := x.keepers.SubmitChange(ctx, "MakeClaim", &ledger.MakeClaim{
		ClaimKey: c.key, Attempt: c.attempt, Digest: c.digest,
	})
	if err != nil || reply.Claim == nil {
		x.metrics.Count("ClaimFailed")
		x.releaseClaim(c)
		ref := refusal.Unavailable(refusal.ClaimUnavailable, "the request can't be claimed now", minRetryAfter)
		return unclaimedRefusal(x.r, ref), false
	}
	if !reply.Claim.Granted {
		return x.answerFromClaim(reply.Claim)
	}
	c.grantedAt = requestedAt
	x.claim = c
	return nil, false
}

// unclaimedRefusal adjusts the refusal of an at-most-once request that was not
// claimed. If the caller supplied an idempotency key, an earlier attempt may
// have run, so the outcome is unknown.
func unclaimedRefusal(r *http.Request, ref *refusal.Refusal) *refusal.Refusal {
	if r.Header.Get(header.IdempotencyKey) == "" || ref.Reason == refusal.UnknownOrganisation {
		return ref
	}
	out := *ref
	out.Outcome = refusal.Unknown
	return &out
}

// checkClaimAge refuses to use a claim that has become too old, as after a
// long suspension of the process.
func (x *exchange) checkClaimAge() *refusal.Refusal {
	if x.claim == nil || time.Since(x.claim.grantedAt) < maxClaimAge {
		return nil
	}
	return refusal.Unavailable(refusal.ClaimUnavailable, "the claim is too old", minRetryAfter)
}

func (x *exchange) newClaim() (*claim, *refusal.Refusal) {
	key := x.r.Header.Get(header.IdempotencyKey)
	if len(key) > maxKeyBytes {
		return nil, refusal.New(http.StatusBadRequest, refusal.BadRequest, "idempotency key is too long")
	}
	if key == "" {
		key = "generated-" + string(id.NewRequest())
	}
	h := blake3.New()
	_, _ = h.WriteString(x.r.Method + " " + x.r.URL.RequestURI() + "\n")
	_, _ = h.Write(x.admitted.body)
	return &claim{
		key:     ledger.ClaimKey{Organisation: x.admitted.organisation, Key: key},
		attempt: id.NewRequest(), digest: h.Sum(nil),
	}, nil
}

// answerFromClaim responds to a repeated request from the state recorded for
// earlier attempts. It reports whether a response was sent.
func (x *exchange) answerFromClaim(answer *ledger.ClaimAnswer) (*refusal.Refusal, bool) {
	if answer.DigestDiffers {
		return refusal.New(http.StatusUnprocessableEntity, refusal.KeyReused, "the idempotency key was used for another request"), false
	}
	if answer.State != ledger.ClaimSettled || answer.Outcome == nil {
		ref := refusal.UnknownOutcome(refusal.ClaimHeld, "another attempt with this key is in progress or its outcome is unknown")
		ref.Status = http.StatusConflict
		ref.NoRetry = true
		return ref, false
	}
	if answer.Outcome.Truncated {
		return &refusal.Refusal{
			Outcome: refusal.Ran, Reason: refusal.AnswerNotKept, Status: http.StatusConflict, NoRetry: true,
			Message: "the request ran once with status " + http.StatusText(answer.Outcome.Status) + "; its answer was too long to keep",
		}, false
	}
	x.reply.Respond(func(w http.ResponseWriter) {
		h := w.Header()
		h.Set("Content-Type", answer.Outcome.ContentType)
		h.Set(header.Replayed, "true")
		h.Set(header.RequestID, string(x.admitted.id))
		w.WriteHeader(answer.Outcome.Status)
		_, _ = w.Write(answer.Outcome.Body)
	})
	x.metrics.Count("Replayed")
	return nil, true
}

// settleClaim records the outcome for repeated requests. It does not wait for
// the keepers.
func (x *exchange) settleClaim(response *http.Response, body []byte) {
	if x.claim == nil {
		return
	}
	x.claim.settled = true
	out := ledger.Outcome{
		Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"),
		Body: body, Truncated: len(body) > maxStoredResponseBytes,
	}
	if out.Truncated {
		out.Body = nil
	}
	x.submitInBackground("SettleClaim", &ledger.SettleClaim{
		ClaimKey: x.claim.key, Attempt: x.claim.attempt, Outcome: out,
	})
}

// releaseUnrun releases the claim of a request that certainly did not run.
func (x *exchange) releaseUnrun(ref *refusal.Refusal) {
	if x.claim != nil && !x.claim.settled && ref.Outcome == refusal.NotRun {
		x.releaseClaim(x.claim)
	}
}

func (x *exchange) releaseClaim(c *claim) {
	x.submitInBackground("ReleaseClaim", &ledger.ReleaseClaim{ClaimKey: c.key, Attempt: c.attempt, Digest: c.digest})
}

func (x *exchange) submitInBackground(name string, change ledger.Change) {
	x.background.Add(1)
	go func() {
		defer x.background.Done()
		ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
		defer cancel()
		if _, err := x.keepers.SubmitChange(ctx, name, change); err != nil {
			x.metrics.CountReason("ClaimNotRecorded", name)
			klog.V(1).InfoS("Failed to submit claim change", "Change", name, "Error", err.Error())
		}
	}()
}
