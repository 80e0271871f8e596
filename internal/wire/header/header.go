// Package header defines the names of the HTTP headers that callers, entries,
// agents and targets exchange.
package header

// MaxResponseBytes limits the header of a response. It fits the bitmap of held
// chunks that agents send each other, which is the largest field.
const MaxResponseBytes = 256 << 10

// Headers that callers see or set.
const (
	// Bundle is the bundle version that produced the response.
	Bundle = "Egret-Bundle"
	// Outcome is NotRun or Unknown in a refusal.
	Outcome = "Egret-Outcome"
	// Reason is the reason of a refusal.
	Reason = "Egret-Reason"
	// RequestID identifies a request. Every hop forwards it.
	RequestID = "X-Request-Id"
	// IdempotencyKey is the caller's key for a request that must run at most
	// once.
	IdempotencyKey = "Idempotency-Key"
	// Replayed marks the stored response of an earlier attempt.
	Replayed = "Egret-Replayed"
	// ShouldRetry is "false" where client libraries must not retry by
	// themselves.
	ShouldRetry = "X-Should-Retry"
)

// Headers between entries and agents.
const (
	// Organisation is the customer that the request is accounted to.
	Organisation = "Egret-Organisation"
	// Priority is the priority that the agent forwards to the engine.
	Priority = "Egret-Priority"
	// Attempt is the id of one dispatch. An agent accepts each id once.
	Attempt = "Egret-Attempt"
	// Once marks a request that must run at most once.
	Once = "Egret-Once"
	// Model is the requested model.
	Model = "Egret-Model"
	// PinBundle is the only bundle version that may produce the response.
	PinBundle = "Egret-Pin-Bundle"
	// ResumeTokens is the number of tokens that the caller already has.
	ResumeTokens = "Egret-Resume-Tokens"
	// Target is the target that answered.
	Target = "Egret-Target"
	// Load is the number of requests in progress and the limit, such as "3/16".
	Load = "Egret-Load"
)

// DispatchPath is the path prefix of requests to an agent. The rest of the path
// is forwarded to the target.
const DispatchPath = "/dispatch"

// ReservedPrefix is the prefix of this product's headers. Such headers of a
// target's response are dropped.
const ReservedPrefix = "Egret-"

// Headers between agents and engines.
const (
	// EngineVersion is the version of the weights that produced the response.
	EngineVersion = "X-Engine-Version"
	// EngineStart is the engine's start number, which differs after a restart.
	EngineStart = "X-Engine-Start"
	// EnginePriority is the priority of a request within the engine.
	EnginePriority = "X-Engine-Priority"
	// EngineResume is the number of tokens at the start of the response that the
	// engine leaves out.
	EngineResume = "X-Engine-Resume"
)
