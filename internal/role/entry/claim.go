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
	// claimTimeout bounds the wait for a claim.
	claimTimeout = 4 * time.Second
	// maxClaimAge is the time after which a granted claim is no longer acted
	// on. It is far below the time for which keepers hold claims.
	maxClaimAge = 30 * time.Second
	// maxStoredResponseBytes is the longest answer that is kept for resends.
	maxStoredResponseBytes = 16 << 10
	maxKeyBytes            = 256
)

// claim is the right to run a request that may not be repeated.
type claim struct {
	key     ledger.ClaimKey
	attempt id.Request
	digest  []byte
	// grantedAt is the time when the keepers grantedAt the claim.
	grantedAt time.Time
	// settled tells that the outcome is being recorded.
	settled bool
}

// acquireClaim obtains the claim before anything else, so that a refusal may say
// with certainty that no attempt ran. It reports whether the answer of an
// earlier attempt was sent instead.
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
	asked := time.Now()
	answer, err := x.keepers.SubmitChange(ctx, "MakeClaim", &ledger.MakeClaim{
		ClaimKey: c.key, Attempt: c.attempt, Digest: c.digest,
	})
	if err != nil || answer.Claim == nil {
		x.metrics.Count("ClaimFailed")
		x.releaseClaim(c)
		ref := refusal.Unavailable(refusal.ClaimUnavailable, "the request can't be claimed now", minRetryAfter)
		return unclaimedRefusal(x.r, ref), false
	}
	if !answer.Claim.Granted {
		return x.answerFromClaim(answer.Claim)
	}
	c.grantedAt = asked
	x.claim = c
	return nil, false
}

// unclaimedRefusal turns the refusal of a request that may not be repeated and was
// not claimed into a truthful one: under a key of the caller's, an earlier
// attempt may have run.
func unclaimedRefusal(r *http.Request, ref *refusal.Refusal) *refusal.Refusal {
	if r.Header.Get(header.IdempotencyKey) == "" || ref.Reason == refusal.UnknownOrganisation {
		return ref
	}
	out := *ref
	out.Outcome = refusal.Unknown
	return &out
}

// checkClaimAge refuses to act on a claim that an entry held through a long
// standstill.
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

// answerFromClaim answers a resend from what earlier attempts left.
func (x *exchange) answerFromClaim(a *ledger.ClaimAnswer) (*refusal.Refusal, bool) {
	if a.DigestDiffers {
		return refusal.New(http.StatusUnprocessableEntity, refusal.KeyReused, "the idempotency key was used for another request"), false
	}
	if a.State != ledger.ClaimSettled || a.Outcome == nil {
		ref := refusal.UnknownOutcome(refusal.ClaimHeld, "another attempt with this key is in progress or its outcome is unknown")
		ref.Status = http.StatusConflict
		ref.NoRetry = true
		return ref, false
	}
	if a.Outcome.Truncated {
		return &refusal.Refusal{
			Outcome: refusal.Ran, Reason: refusal.AnswerNotKept, Status: http.StatusConflict, NoRetry: true,
			Message: "the request ran once with status " + http.StatusText(a.Outcome.Status) + "; its answer was too long to keep",
		}, false
	}
	h := x.w.Header()
	h.Set("Content-Type", a.Outcome.ContentType)
	h.Set(header.Replayed, "true")
	h.Set(header.RequestID, string(x.admitted.id))
	x.w.WriteHeader(a.Outcome.Status)
	_, _ = x.w.Write(a.Outcome.Body)
	x.metrics.Count("Replayed")
	return nil, true
}

// settleClaim records the outcome for resends, after the answer.
func (x *exchange) settleClaim(answer *http.Response, body []byte) {
	if x.claim == nil {
		return
	}
	x.claim.settled = true
	out := ledger.Outcome{
		Status: answer.StatusCode, ContentType: answer.Header.Get("Content-Type"),
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
			klog.V(1).InfoS("Claim was not recorded", "Change", name, "Error", err.Error())
		}
	}()
}
