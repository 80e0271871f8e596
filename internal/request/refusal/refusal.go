// Package refusal tells callers truthfully why they got no answer: whether
// the request was not run or its outcome is unknown, the reason, and when to
// try again.
package refusal

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/wire/header"
)

// Outcome tells whether a refused request may have run.
type Outcome string

// Outcomes.
const (
	// NotRun is said only when it is certain.
	NotRun Outcome = "NotRun"
	// Unknown means that the request may have run.
	Unknown Outcome = "Unknown"
	// Ran means that the request ran once and its answer is lost.
	Ran Outcome = "Ran"
)

// Reason classifies a refusal.
type Reason string

// Reasons of entries.
const (
	BadRequest          Reason = "BadRequest"
	BodyTooLarge        Reason = "BodyTooLarge"
	SlowCaller          Reason = "SlowCaller"
	UnknownOrganisation Reason = "UnknownOrganisation"
	UnknownModel        Reason = "UnknownModel"
	UnknownRoute        Reason = "UnknownRoute"
	MethodNotAllowed    Reason = "MethodNotAllowed"
	OrganisationLimit   Reason = "OrganisationLimit"
	QueueFull           Reason = "QueueFull"
	QueueTimeout        Reason = "QueueTimeout"
	NoTarget            Reason = "NoTarget"
	RetryBudget         Reason = "RetryBudget"
	ClaimUnavailable    Reason = "ClaimUnavailable"
	ClaimHeld           Reason = "ClaimHeld"
	KeyReused           Reason = "KeyReused"
	AnswerNotKept       Reason = "AnswerNotKept"
	TargetFailed        Reason = "TargetFailed"
	AnswerBroken        Reason = "AnswerBroken"
	AnswerCrossed       Reason = "AnswerCrossed"
	VersionChanged      Reason = "VersionChanged"
	CallerGone          Reason = "CallerGone"
)

// Reasons of agents.
const (
	LeaseExpired      Reason = "LeaseExpired"
	DomainWithdrawn   Reason = "DomainWithdrawn"
	TargetDraining    Reason = "TargetDraining"
	TargetLeaving     Reason = "TargetLeaving"
	TargetNotServing  Reason = "TargetNotServing"
	TargetFull        Reason = "TargetFull"
	TargetCold        Reason = "TargetCold"
	OtherModel        Reason = "OtherModel"
	OtherBundle       Reason = "OtherBundle"
	AttemptSeen       Reason = "AttemptSeen"
	TargetUnreachable Reason = "TargetUnreachable"
	AgentUnreachable  Reason = "AgentUnreachable"
)

// Refusal is an error that a caller can act on.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	// Status is the HTTP status.
	Status int
	// Message is for people.
	Message string
	// RetryAfter is zero where another try is of no use.
	RetryAfter time.Duration
	// NoRetry tells client libraries not to repeat by themselves.
	NoRetry bool
}

// Error implements error.
func (r *Refusal) Error() string {
	return string(r.Outcome) + ": " + string(r.Reason) + ": " + r.Message
}

// New returns a refusal of a request that was not run.
func New(status int, reason Reason, message string) *Refusal {
	return &Refusal{Outcome: NotRun, Reason: reason, Status: status, Message: message}
}

// Unavailable returns a refusal of a request that was not run for want of capacity.
func Unavailable(reason Reason, message string, after time.Duration) *Refusal {
	return &Refusal{
		Outcome: NotRun, Reason: reason, Status: http.StatusServiceUnavailable,
		Message: message, RetryAfter: after,
	}
}

// UnknownOutcome returns a refusal of a request whose outcome is unknown.
func UnknownOutcome(reason Reason, message string) *Refusal {
	return &Refusal{Outcome: Unknown, Reason: reason, Status: http.StatusBadGateway, Message: message}
}

// Body is the JSON body of a refusal. The envelope with its lower-case keys
// is what OpenAI client libraries expect.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the content of the envelope.
type BodyError struct {
	Message           string `json:"message"`
	Type              string `json:"type"`
	Code              string `json:"code"`
	Outcome           Outcome
	Reason            Reason
	RequestID         id.Request
	RetryAfterSeconds int `json:",omitempty"`
}

// Body returns the JSON body for a request.
func (r *Refusal) Body(request id.Request) Body {
	kind := "server_error"
	if r.Status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return Body{Error: BodyError{
		Message: r.Message, Type: kind, Code: string(r.Reason),
		Outcome: r.Outcome, Reason: r.Reason, RequestID: request,
		RetryAfterSeconds: r.retrySeconds(),
	}}
}

func (r *Refusal) retrySeconds() int {
	return int((r.RetryAfter + time.Second - 1) / time.Second)
}

// Write answers a request with the refusal.
func (r *Refusal) Write(w http.ResponseWriter, request id.Request) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(header.Outcome, string(r.Outcome))
	h.Set(header.Reason, string(r.Reason))
	h.Set(header.RequestID, string(request))
	if n := r.retrySeconds(); n > 0 {
		h.Set("Retry-After", strconv.Itoa(n))
	}
	if r.NoRetry {
		h.Set(header.ShouldRetry, "false")
	}
	w.WriteHeader(r.Status)
	_ = json.NewEncoder(w).Encode(r.Body(request))
}

// FromHeader reads the refusal of an agent. ok is false if the answer is
// none.
func FromHeader(h http.Header, status int) (r *Refusal, ok bool) {
	outcome := Outcome(h.Get(header.Outcome))
	if outcome == "" {
		return nil, false
	}
	r = &Refusal{
		Outcome: outcome, Reason: Reason(h.Get(header.Reason)), Status: status,
		Message: "target refused: " + h.Get(header.Reason),
	}
	if n, err := strconv.Atoi(h.Get("Retry-After")); err == nil {
		r.RetryAfter = time.Duration(n) * time.Second
	}
	return r, true
}
