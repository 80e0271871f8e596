package siteentry

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/request/digest"
	"egretproxy/internal/request/ends"
)

// harmlessTime is how long a request must have been at a target that still works to
// show that it ends none. A request that ends targets does so soon after it begins to
// run.
const harmlessTime = 2 * time.Second

// errHeld means that targets ended under the request at several moments.
var errHeld = errors.New("targets ended under this request")

// heldBack reports whether the request must be refused, since targets ended under it as
// far as this entry knows. The keepers may not know, or be out of reach.
func (j *job) heldBack() bool {
	if j.passed || j.tests || j.testing {
		return false
	}
	j.heldFor = j.entry.witness.RequestHeld(j.digest)
	return j.heldFor > 0
}

// passesPause reports whether the request may be sent now. If it was held back before,
// others are from then on, to see whether targets still end under it.
func (j *job) passesPause() bool {
	j.passed = j.passed || j.tests || j.entry.witness.RequestPause(j.digest) == 0
	return j.passed
}

// identifyRequest computes the digest of the request.
func (j *job) identifyRequest() {
	r := digest.Request{
		Method: j.r.Method, Host: hostOf(j.r.Host), URI: j.r.RequestURI, Prompt: j.r.Header.Get(j.entry.Settings.Headers.Prompt), Body: j.body,
	}
	if j.tenant != nil {
		r.Organisation = j.tenant.Name
	}
	j.digest = r.Digest()
	j.marks = append(slices.Clip(j.parts), j.digest)
}

// suspectRequest returns an error if the target of the latest attempt ended under the
// request and others did before, so that it must not go to another one.
func (j *job) suspectRequest() error {
	if j.brokenBy == nil || !endsExchange(j.brokenBy) {
		return nil
	}
	for _, v := range j.matchingVerdicts() {
		if v.OnRequest() {
			j.shutOutBy = v
			return errShutOut
		}
	}
	if w := &j.entry.witness; w.RequestEnds(j.digest) >= ends.Suspicious || w.Suspected([]id.PromptPart{j.digest}) {
		return errSuspect
	}
	return nil
}

// showedHarmless reports whether the latest attempt shows that the request ends no
// target: the response came to its end, or it had begun and gone on for some time when
// it was given up. A run that has sent nothing yet may still end its target.
func (j *job) showedHarmless() bool {
	return j.whole || j.givenUp && !j.begunAt.IsZero() && time.Since(j.sentAt.steady) >= harmlessTime
}
