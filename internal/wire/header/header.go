// Package header names the HTTP headers between callers, entries, agents and
// targets.
package header

// Headers that callers see or set.
const (
	// Bundle names the bundle version that gave an answer.
	Bundle = "Egret-Bundle"
	// Outcome is NotRun or Unknown on a refusal.
	Outcome = "Egret-Outcome"
	// Reason is the reason for a refusal.
	Reason = "Egret-Reason"
	// RequestID passes through every hop.
	RequestID = "X-Request-Id"
	// IdempotencyKey is the caller's key for a request that may not be
	// repeated.
	IdempotencyKey = "Idempotency-Key"
	// Replayed marks an answer that an earlier attempt gave.
	Replayed = "Egret-Replayed"
	// ShouldRetry tells client libraries not to repeat by themselves.
	ShouldRetry = "X-Should-Retry"
)

// Headers between entries and agents.
const (
	// Organisation is the customer that the request is accounted to.
	Organisation = "Egret-Organisation"
	// Priority is passed on to engines.
	Priority = "Egret-Priority"
	// Attempt is the id of one dispatch. An agent takes each once.
	Attempt = "Egret-Attempt"
	// Once marks a request that may not be repeated.
	Once = "Egret-Once"
	// Model is the model that the request asks for.
	Model = "Egret-Model"
	// PinBundle asks for an answer from this bundle version only.
	PinBundle = "Egret-Pin-Bundle"
	// ResumeTokens is the number of tokens that the caller already has.
	ResumeTokens = "Egret-Resume-Tokens"
	// Target is the target that answered.
	Target = "Egret-Target"
	// Load is the requests in progress and the limit, as "3/16".
	Load = "Egret-Load"
)

// DispatchPath stands before the target's own path in requests to an agent.
const DispatchPath = "/dispatch"

// ReservedPrefix starts the names of the headers that a target may not set.
const ReservedPrefix = "Egret-"

// Headers of the engines' protocol.
const (
	// EngineVersion is the version whose weights gave an answer.
	EngineVersion = "X-Engine-Version"
	// EngineStart is the engine's start number.
	EngineStart = "X-Engine-Start"
	// EnginePriority orders requests within an engine.
	EnginePriority = "X-Engine-Priority"
	// EngineResume is the number of tokens to leave out.
	EngineResume = "X-Engine-Resume"
)
