// Package plan holds a site's configuration: which requests go to which
// services, for which tenants and within which limits. All its types are parts
// of one document.
package plan

import (
	"slices"
	"time"

	"egretproxy/internal/fleet/id"
)

// Version orders plans. The highest one is in force.
type Version int64

// Kind determines whether a route's requests may be repeated.
type Kind uint8

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming responses are sequences of events.
	Streaming
)

// Share is one service of a weighted split.
type Share struct {
	Service id.Service
	// Weight is not negative. The weights of a split add up to more than 0.
	Weight int
}

// Route maps requests to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller waits.
	Timeout time.Duration
	// Objective is the desired time to the response, or to the first event of a
	// stream.
	Objective time.Duration
	// EventGap is the longest pause between events. Zero means unbounded.
	EventGap time.Duration
	// Patience is how long callers of a stream wait for its next event, or for its
	// first one, before they leave. Zero means that it is not known.
	Patience time.Duration
	// Priority orders requests; 0 is the most urgent.
	Priority int
	// Shares has at least one element.
	Shares []Share
	// MaxAttempts is the number of targets that one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may continue on another target.
	Resumable bool
	// Regions are those in which requests may be served. Empty means all.
	Regions []id.Region
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// OriginDomain returns the failure domain of the origin of weights, or "".
func (p *Plan) OriginDomain() id.Domain {
	for _, s := range p.Services {
		if s.Origin != "" {
			return s.Domain
		}
	}
	return ""
}

// Interruptible reports whether all requests that run on targets of the service
// may continue on another target, so that they can be aborted to load weights.
func (p *Plan) Interruptible(service id.Service) bool {
	for i := range p.Routes {
		r := &p.Routes[i]
		if r.Repeatable() && r.MaxAttempts > 1 {
			continue
		}
		for _, s := range r.Shares {
			if s.Service == service && s.Weight > 0 {
				return false
			}
		}
	}
	return true
}

// LongestStream returns how long callers wait at most for streams of the service whose
// pauses are bounded, 0 if there are none.
func (p *Plan) LongestStream(service id.Service) time.Duration {
	var longest time.Duration
	for i := range p.Routes {
		r := &p.Routes[i]
		serves := slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service && s.Weight > 0 })
		if serves && r.Kind == Streaming && r.EventGap > 0 {
			longest = max(longest, r.Timeout)
		}
	}
	return longest
}

// Engine describes the model engines of a service.
type Engine struct {
	Model id.Model
	// Slots is the number of requests that run concurrently.
	Slots int
	// Step is the time to generate one token with an idle batch.
	Step time.Duration
	// StepPerRequest is added to Step for each running request.
	StepPerRequest time.Duration
	// PrefillTokensPerSecond is the number of prompt tokens processed per
	// second.
	PrefillTokensPerSecond float64
	// MeanPromptTokens and MeanAnswerTokens are the mean lengths in tokens.
	MeanPromptTokens, MeanAnswerTokens float64
	// Layers is the number of layers of the model.
	Layers int
	// Pieces is the number of pieces of the weights, PieceBytes their size.
	Pieces, PieceBytes int
	// CacheTokens is the memory for requests, in tokens.
	CacheTokens int
}

// Service is a group of targets, or the origin of weights.
type Service struct {
	Name id.Service
	// Origin is the address of the origin of weights. It is empty for all other
	// services.
	Origin string
	// Domain is the failure domain of the origin.
	Domain id.Domain
	// ConnectionLimit bounds the connections of all callers to one target.
	ConnectionLimit int
	// ColdPerSecond is the request rate that a cold target can handle. Zero
	// means that the service's targets have no cold start.
	ColdPerSecond float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Tenant is an organisation with its keys.
type Tenant struct {
	Name id.Organisation
	Keys []string
	// Priority overrides that of the route. Negative means unset.
	Priority int
	// Regions are those in which its requests may be served. Empty means all.
	Regions []id.Region
}

// Limits bounds what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Plan is one version of the configuration. It is immutable after Index.
type Plan struct {
	Version  Version
	Routes   []Route
	Services map[id.Service]*Service
	Tenants  []Tenant
	Limits   Limits

	// hosts holds the routes of each host, longest prefix first.
	hosts map[string][]*Route
	keys  map[string]*Tenant
}
