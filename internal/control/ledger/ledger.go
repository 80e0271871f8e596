// Package ledger is the state machine behind the agreed log. Every change is
// a type of its own that registers itself by name.
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
	// maxStoredAnswers is the number of operator changes whose answers are kept
	// for resends.
	maxStoredAnswers = 20_000
	// maxTargetChanges is the number of changes to targets that differences can
	// name.
	maxTargetChanges = 16_384
	// DefaultClaimRetentionMilliseconds is the time for which a claim is
	// kept after it was made.
	DefaultClaimRetentionMilliseconds = 60 * 60 * 1000
)

// Code classifies why a change was refused.
type Code string

// Codes of refusals.
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

// Answer is the outcome of a change. A resend gets the same one.
type Answer struct {
	Code Code   `cbor:",omitempty" json:",omitempty"`
	Text string `cbor:",omitempty" json:",omitempty"`
	// Version is the log position of the change.
	Version id.Version `cbor:",omitempty" json:",omitempty"`
	// Winner is the author of the change that a refused one lost to.
	Winner *view.Author `cbor:",omitempty" json:",omitempty"`
	// Claim is set on answers to claims.
	Claim *ClaimAnswer `cbor:",omitempty" json:",omitempty"`
}

// Envelope is a change as it stands in the log.
type Envelope struct {
	// Name is the registered name of the change.
	Name     string
	Request  id.Request  `cbor:",omitempty" json:",omitempty"`
	Operator id.Operator `cbor:",omitempty" json:",omitempty"`
	// Stamp is the time of the log in milliseconds, set by the leader. It
	// advances by the leader's monotonic clock only, so that no wall clock
	// can shorten the life of a claim.
	Stamp int64 `cbor:",omitempty" json:",omitempty"`
	// Body is the CBOR encoding of the change.
	Body []byte
}

// Change is one kind of change to the ledger.
type Change interface {
	// Apply executes the change. It must depend on nothing but the ledger
	// and the context.
	Apply(l *Ledger, c Context) Answer
}

// Context is what a change knows of its place in the log.
type Context struct {
	Version  id.Version
	Request  id.Request
	Operator id.Operator
	Name     string
}

func (c Context) author(what string) view.Author {
	return view.Author{Operator: c.Operator, Request: c.Request, What: what, Version: c.Version}
}

var changes = map[string]func() Change{}

// register makes a change known under its name.
func register(name string, create func() Change) {
	changes[name] = create
}

// storedAnswer is the remembered outcome of one request.
type storedAnswer struct {
	Request id.Request
	Name    string
	Body    []byte
	Answer  Answer
}

// Ledger is the agreed state. The zero value is the state before the first
// change. It is not safe for concurrent use.
type Ledger struct {
	view view.View
	// now never falls.
	now      int64
	requests map[id.Request]storedAnswer
	// requestOrder lists requests from the oldest.
	requestOrder []id.Request
	claims       claims
}

// Now returns the time of the log in milliseconds.
func (l *Ledger) Now() int64 { return l.now }

// View returns the present view. The caller must not change its maps, and
// must not use it while the ledger applies changes.
func (l *Ledger) View() *view.View { return &l.view }

// Claims returns the number of claims held.
func (l *Ledger) Claims() int { return len(l.claims.byKey) }

// Encode turns a change into an envelope.
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

// Known reports whether a change of the name is registered.
func Known(name string) bool {
	_, ok := changes[name]
	return ok
}

// Apply executes one encoded envelope.
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
	if p, ok := l.requests[e.Request]; ok && e.Request != "" {
		return replay(p, e)
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

// replay answers a resent request. Another change under the same request id
// is refused.
func replay(p storedAnswer, e Envelope) Answer {
	if p.Name != e.Name || !slices.Equal(p.Body, e.Body) {
		return Answer{Code: CodeRequestReuse, Text: "request id " + string(e.Request) + " was used for another change"}
	}
	return p.Answer
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

// putTarget writes a target and notes the change for differences.
func (l *Ledger) putTarget(t view.Target, v id.Version) {
	t.Changed = v
	l.view.Targets[t.ID] = t
	l.recordTargetChange(t.ID, v)
}

// removeTarget deletes a target and notes the removal for differences.
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

// conflict refuses a change that was based on an outdated version.
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
