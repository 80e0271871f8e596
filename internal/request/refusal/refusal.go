// Package refusal reports to callers why they got no response: whether the
// request was executed or its outcome is unknown, the reason, and when to
// retry.
package refusal

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/wire/header"
)

// Outcome states whether a refused request may have been executed.
type Outcome string

// Outcomes of a refused request.
const (
	// NotRun means that the request was certainly not executed.
	NotRun Outcome = "NotRun"
	// Unknown means that the request may have been executed.
	Unknown Outcome = "Unknown"
	// Ran means that the request was executed once and its response is lost.
	Ran Outcome = "Ran"
)

// Reason classifies a refusal.
type Reason string

// Reasons given by entries.
const (
	BadRequest          Reason = "BadRequest"
	BodyTooLarge        Reason = "BodyTooLarge"
	SlowCaller          Reason = "SlowCaller"
	NoRoom              Reason = "NoRoom"
	UnknownOrganisation Reason = "UnknownOrganisation"
	UnknownModel        Reason = "UnknownModel"
	UnknownRoute        Reason = "UnknownRoute"
	MethodNotAllowed    Reason = "MethodNotAllowed"
	OrganisationLimit   Reason = "OrganisationLimit"
	Stopping            Reason = "Stopping"
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
	EndsTargets         Reason = "EndsTargets"
)

// Reasons given by agents.
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
	// Message is a human-readable description.
	Message string
	// RetryAfter is zero if a retry is of no use.
	RetryAfter time.Duration
	// NoRetry instructs client libraries not to retry by themselves.
	NoRetry bool
}

// Error implements error.
func (r *Refusal) Error() string {
	return string(r.Outcome) + ": " + string(r.Reason) + ": " + r.Message
}

// New returns a refusal of a request that was not executed.
func New(status int, reason Reason, message string) *Refusal {
	return &Refusal{Outcome: NotRun, Reason: reason, Status: status, Message: message}
}

// Unavailable returns a refusal of a request that was not executed for lack
// of capacity.
func Unavailable(reason Reason, message string, after time.Duration) *Refusal {
	return &Refusal{
		Outcome: NotRun, Reason: reason, Status: http.StatusServiceUnavailable,
		Message: message, RetryAfter: after,
	}
}

// UnknownOutcome returns a refusal of a request that may have been executed.
func UnknownOutcome(reason Reason, message string) *Refusal {
	return &Refusal{Outcome: Unknown, Reason: reason, Status: http.StatusBadGateway, Message: message}
}

// Body is the JSON body of a refusal. OpenAI client libraries expect this
// envelope with its lower-case keys.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the error object in the envelope.
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

// Write sends the refusal as the response to a request.
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

// FromHeader reads the refusal of an agent from the header of its response. ok
// is false if the response is not a refusal.
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
