// Package evidence defines the messages about parts of prompts, and about whole
// requests, between entries, which see engines end, and keepers.
package evidence

import (
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/request/digest"
)

const (
	// ReportMethod is the call by which entries report what they saw.
	ReportMethod = "site.evidence"
	// TestMethod is the call by which an entry asks to send one request in
	// spite of a verdict.
	TestMethod = "site.test"
	// QuarantineMethod is the call by which operators list and lift verdicts.
	QuarantineMethod = "site.quarantine"
)

// Report is what an entry saw since its last report.
type Report struct {
	Ends  []End   `json:",omitempty"`
	Begun []Begun `json:",omitempty"`
	// Alive takes ends back. Keepers of earlier versions ignore it.
	Alive []Alive `json:",omitempty"`
}

// Empty reports whether the report says nothing.
func (r *Report) Empty() bool { return len(r.Ends) == 0 && len(r.Begun) == 0 && len(r.Alive) == 0 }

// End says that exchanges with a target broke off.
type End struct {
	Target id.Target
	// Born is the start time of the incarnation in Unix milliseconds.
	Born int64
	// Fresh are the parts of the requests whose responses had not begun, on which
	// the entry has seen no response begin yet, Known the others.
	Fresh []id.PromptPart `json:",omitempty"`
	Known []id.PromptPart `json:",omitempty"`
	// Begun are the parts of the requests whose responses had begun and had not shown
	// yet that none of these parts ends targets.
	Begun []id.PromptPart `json:",omitempty"`
	// Requests are the digests of the requests at the target whose responses had
	// not come to their end, whether they had begun or not. Served are those of them
	// to which the entry has seen a whole response before.
	Requests []id.PromptPart `json:",omitempty"`
	Served   []id.PromptPart `json:",omitempty"`
	// AgeMs is the time in milliseconds from the first of these exchanges breaking off
	// to the report, by the clock of the entry. Entries of earlier versions leave it
	// out.
	AgeMs int64 `json:",omitempty"`
}

// Begun says that a response began on a part some time ago, or that the response to
// the request with this digest came to its end.
type Begun struct {
	Part id.PromptPart
	// AgeMs is the time since then in milliseconds.
	AgeMs int64
	// Harmless is set if the response on a part did not only begin, but came to its end
	// or went on for long enough that the part ends no target.
	Harmless bool `json:",omitempty"`
}

// Clears reports whether verdicts on the part or the request no longer hold.
func (b *Begun) Clears() bool { return b.Harmless || digest.IsDigest(b.Part) }

// Alive says that an incarnation of a target which an entry reported to have ended
// lived some time ago.
type Alive struct {
	Target id.Target
	Born   int64
	// AgeMs is the time since then in milliseconds.
	AgeMs int64
}

// Suspect is a part with which targets have ended, and no response has begun since
// the first of them; or the digest of a request, and no response has come to its end.
type Suspect struct {
	Part id.PromptPart
	// AgeMs is the time since the first of these ends in milliseconds.
	AgeMs int64
}

// Test asks for the next test of a verdict.
type Test struct {
	// Key is the verdict's.
	Key string
	// Number is one more than the tests that the caller knows of.
	Number int
	// Holder identifies the request.
	Holder string
}

// TestResponse is the result of TestMethod.
type TestResponse struct{ Granted bool }

// QuarantineRequest asks for all verdicts, and lifts those that contain a part
// if Lift is set.
type QuarantineRequest struct {
	Lift id.PromptPart `json:",omitempty"`
}
