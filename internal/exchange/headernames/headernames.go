// Package headernames holds the names of the HTTP headers that callers and
// targets of a site use. The platform adapter supplies them.
package headernames

// Names holds the header names in canonical form.
type Names struct {
	// Attempt identifies one attempt of a caller. Targets echo it.
	Attempt string
	// Deadline holds the remaining time in milliseconds.
	Deadline string
	// Key holds the caller's API key. It is never forwarded to targets.
	Key string
	// Organisation names the owner of the key. It is set for targets.
	Organisation string
	// Target names the only target that may serve the request, if set.
	Target string
	// Weights is the only version that may serve the request, if set.
	Weights string
	// ServedWeights is the version that produced a response.
	ServedWeights string
	// Priority is the urgency reported to targets; 0 is the highest.
	Priority string
	// LastEvent is the ID of the event after which a stream resumes.
	LastEvent string
	// Usage holds the number of prompt tokens and the maximum number of
	// response tokens.
	Usage string
	// LengthHint holds the number of response tokens that the caller expects.
	LengthHint string
	// Prompt lists the parts of the prompt, as ID:TOKENS entries.
	Prompt string
	// Limit is the number of requests a second that the target takes from all
	// callers together, for as long as its responses name it.
	Limit string
	// Leaving marks the responses of targets that leave and want no new
	// requests.
	Leaving string
	// NotRun marks responses of targets that did not execute the request.
	NotRun string
	// Signature marks responses that a target produced.
	Signature string
}
