// Package headernames names the headers that callers and targets of a site use.
// The adapter of the platform fills them in.
package headernames

// Names is the header names, in canonical form.
type Names struct {
	// Attempt identifies one attempt of a caller. Targets echo it.
	Attempt string
	// Deadline is the milliseconds that are left.
	Deadline string
	// Key is the caller's secret; targets never see it.
	Key string
	// Organisation is the holder of the key, for targets.
	Organisation string
	// Target is the target that must serve the request, or none.
	Target string
	// Weights is the version that must serve the request, or none.
	Weights string
	// ServedWeights is the version that an answer comes from.
	ServedWeights string
	// Priority is the urgency for targets, 0 is first.
	Priority string
	// LastEvent is the event after which a stream goes on.
	LastEvent string
	// Usage is the tokens of the prompt and the most of the answer.
	Usage string
	// NotRun is on answers of targets that did not run the request.
	NotRun string
	// Signature is on answers that a target made.
	Signature string
}
