// Package ledger implements the state machine that is replicated through the
// Raft log. Each kind of change is a type that is registered by name.
package ledger

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/errwrap"
)

const (
	// maxStoredAnswers is the number of operator changes whose answers are
	// kept, so that a resent change gets the same answer.
	maxStoredAnswers = 20_000
	// maxTargetChanges is the number of target changes kept for deltas. A
	// holder that lacks more of them gets the full view.
	maxTargetChanges = 16_384
	// DefaultClaimRetentionMilliseconds is the time for which a claim is kept
	// after its creation.
	DefaultClaimRetentionMilliseconds = 60 * 60 * 1000
)

// Code classifies why a change was refused.
type Code string

// Codes of refused changes. CodeDone means that the change was made.
const (
	CodeDone         Code = ""
	CodeConflict     Code = "Conflict"
	CodeNotAllowed   Code = "NotAllowed"
	CodeUnknown      Code = "Unknown"
	CodeExists       Code = "Exists"
	CodeInvalid      Code = "Invalid"
	CodeRequestReuse Code = "RequestReuse"
	CodeReplaced     Code = "Replaced"
)

// Answer is the result of a change. A resent change gets the same answer.
type Answer struct {
	Code Code   `cbor:",omitempty" json:",omitempty"`
	Text string `cbor:",omitempty" json:",omitempty"`
	// Version is the log position of the change.
	Version id.Version `cbor:",omitempty" json:",omitempty"`
	// Winner is the author of the change that caused the refusal.
	Winner *view.Author `cbor:",omitempty" json:",omitempty"`
	// Claim is set on answers to changes of claims.
	Claim *ClaimAnswer `cbor:",omitempty" json:",omitempty"`
}

// Envelope is a change as it is stored in the log.
type Envelope struct {
	// Name is the registered name of the change.
	Name     string
	Request  id.Request  `cbor:",omitempty" json:",omitempty"`
	Operator id.Operator `cbor:",omitempty" json:",omitempty"`
	// Stamp is the log time in milliseconds, set by the leader. It advances
	// with the leader's monotonic clock only, so that a wall clock step cannot
	// shorten the retention of a claim.
	Stamp int64 `cbor:",omitempty" json:",omitempty"`
	// Body is the CBOR encoding of the change.
	Body []byte
}

// Change is a change to the ledger.
type Change interface {
	// Apply executes the change. It must be deterministic: its result may
	// depend only on the change, the ledger and the context.
	Apply(l *Ledger, c Context) Answer
}

// Context describes the log entry that holds a change.
type Context struct {
	Version  id.Version
	Request  id.Request
	Operator id.Operator
	Name     string
}

func (c Context) author(action string) view.Author {
	return view.Author{Operator: c.Operator, Request: c.Request, What: action, Version: c.Version}
}

var changes = map[string]func() Change{}

// register adds a change to the registry. It is called from init functions.
func register(name string, create func() Change) {
	changes[name] = create
}

// storedAnswer is the answer to one request, kept for resends.
type storedAnswer struct {
	Request id.Request
	Name    string
	Body    []byte
	Answer  Answer
}

// Ledger is the replicated state. The zero value is the state before the first
// change. It is not safe for concurrent use.
type Ledger struct {
	view view.View
	// now is the log time in milliseconds. It never decreases.
	now      int64
	requests map[id.Request]storedAnswer
	// requestOrder lists the keys of requests, oldest first.
	requestOrder []id.Request
	claims       claims
}

// Now returns the log time in milliseconds.
func (l *Ledger) Now() int64 { return l.now }

// View returns the current view. The caller must not modify its maps, and must
// not use it while the ledger applies changes.
func (l *Ledger) View() *view.View { return &l.view }

// Claims returns the number of stored claims.
func (l *Ledger) Claims() int { return len(l.claims.byKey) }

// Encode returns the envelope of a change. It fails if the name is not
// registered.
func Encode(name string, c Change) (Envelope, error) {
	if _, ok := changes[name]; !ok {
		return Envelope{}, errors.Errorf("unknown change %s", name)
	}
	body, err := cbor.Marshal(c)
	if err != nil {
		return Envelope{}, errors.Wrap(err, "encode change")
	}
	return Envelope{Name: name, Body: body}, nil
}

// Marshal encodes an envelope for the log.
func Marshal(e Envelope) ([]byte, error) {
	data, err := cbor.Marshal(e)
	return data, errwrap.Wrap(err, "encode envelope")
}

// Known reports whether a change is registered under the name.
func Known(name string) bool {
	_, ok := changes[name]
	return ok
}

// Apply executes the encoded envelope at a log index. Data that cannot be
// decoded gets an answer with CodeInvalid.
func (l *Ledger) Apply(index uint64, data []byte) Answer {
	l.init()
	l.view.Version = id.Version(index)
	var e Envelope
	if err := cbor.Unmarshal(data, &e); err != nil {
		return Answer{Code: CodeInvalid, Text: "envelope: " + err.Error()}
	}
	l.now = max(l.now, e.Stamp)
	l.claims.expire(l.now)
	create, ok := changes[e.Name]
	if !ok {
		return Answer{Code: CodeInvalid, Text: "unknown change " + e.Name}
	}
	if stored, ok := l.requests[e.Request]; ok && e.Request != "" {
		return replay(stored, e)
	}
	change := create()
	if err := cbor.Unmarshal(e.Body, change); err != nil {
		return Answer{Code: CodeInvalid, Text: "change: " + err.Error()}
	}
	answer := change.Apply(l, Context{
		Version: id.Version(index), Request: e.Request, Operator: e.Operator, Name: e.Name,
	})
	answer.Version = id.Version(index)
	if answer.Claim == nil && answer.Code == CodeDone {
		l.view.Newest = id.Version(index)
	}
	l.storeAnswer(e, answer)
	return answer
}

// replay returns the stored answer to a resent request. A different change
// under the same request id is refused.
func replay(stored storedAnswer, e Envelope) Answer {
	if stored.Name != e.Name || !slices.Equal(stored.Body, e.Body) {
		return Answer{Code: CodeRequestReuse, Text: "request id " + string(e.Request) + " was used for another change"}
	}
	return stored.Answer
}

func (l *Ledger) storeAnswer(e Envelope, a Answer) {
	if e.Request == "" {
		return
	}
	l.requests[e.Request] = storedAnswer{Request: e.Request, Name: e.Name, Body: e.Body, Answer: a}
	l.requestOrder = append(l.requestOrder, e.Request)
	if len(l.requestOrder) > maxStoredAnswers {
		delete(l.requests, l.requestOrder[0])
		l.requestOrder = l.requestOrder[1:]
	}
}

func (l *Ledger) init() {
	if l.requests != nil {
		return
	}
	l.requests = map[id.Request]storedAnswer{}
	l.claims.init()
	if l.view.Bundles == nil {
		l.view.Bundles = map[id.Bundle]view.Bundle{}
	}
	if l.view.Domains == nil {
		l.view.Domains = map[id.Domain]view.Domain{}
	}
	if l.view.Targets == nil {
		l.view.Targets = map[id.Target]view.Target{}
	}
}

// putTarget stores a target and records the change for deltas.
func (l *Ledger) putTarget(t view.Target, v id.Version) {
	t.Changed = v
	l.view.Targets[t.ID] = t
	l.recordTargetChange(t.ID, v)
}

// removeTarget deletes a target and records the removal for deltas.
func (l *Ledger) removeTarget(t id.Target, v id.Version) {
	delete(l.view.Targets, t)
	l.recordTargetChange(t, v)
}

func (l *Ledger) recordTargetChange(t id.Target, v id.Version) {
	l.view.Recent = append(l.view.Recent, view.TargetChange{Target: t, Version: v})
	if len(l.view.Recent) > maxTargetChanges {
		l.view.Floor = l.view.Recent[0].Version
		l.view.Recent = l.view.Recent[1:]
	}
}

// conflict refuses a change that is based on an outdated version.
func conflict(base id.Version, winner view.Author) Answer {
	return Answer{
		Code:   CodeConflict,
		Text:   "based on version " + formatVersion(base) + ", but version " + formatVersion(winner.Version) + " is newer",
		Winner: &winner,
	}
}

func refuse(c Code, text string) Answer {
	return Answer{Code: c, Text: text}
}
