// Package plan holds a site's configuration: which requests go to which
// services, for whom, and within which limits. Its types are the values of
// one document and are read together.
package plan

import (
	"time"

	"egretproxy/internal/fleet/id"
)

// Version orders plans. The highest one is in force.
type Version int64

// Kind tells what may be repeated.
type Kind uint8

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming answers are series of events.
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
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event.
	Objective time.Duration
	// EventGap is the longest pause between events. Zero means unbounded.
	EventGap time.Duration
	// Priority is the rank; 0 is the most urgent.
	Priority int
	// Shares has at least one entry.
	Shares []Share
	// MaxAttempts is the number of targets that one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued on another target.
	Resumable bool
	// Regions is where requests may be served. Empty means everywhere.
	Regions []id.Region
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// OriginDomain returns where the origin of weights is, or nothing.
func (p *Plan) OriginDomain() id.Domain {
	for _, s := range p.Services {
		if s.Origin != "" {
			return s.Domain
		}
	}
	return ""
}

// Interruptible reports whether everything that targets of the service run may go
// on at another target, so that it can be cut off for a change of weights.
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

// Engine describes the model engines of a service.
type Engine struct {
	Model id.Model
	// Slots is the number of requests that run at once.
	Slots int
	// Step is the time of one token with an idle batch.
	Step time.Duration
	// StepPerRequest is added to Step for each running request.
	StepPerRequest time.Duration
	// PrefillTokensPerSecond is the number of prompt tokens read in a second.
	PrefillTokensPerSecond float64
	// MeanPromptTokens and MeanAnswerTokens are mean numbers of tokens.
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
	// Origin is the address of the origin of weights. Empty for all others.
	Origin string
	// Domain is where the origin is.
	Domain id.Domain
	// ConnectionLimit bounds the connections of all callers to one target.
	ConnectionLimit int
	// ColdPerSecond is the rate that a cold target bears. Zero means that
	// its targets have no cold start.
	ColdPerSecond float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Tenant is an organisation with its keys.
type Tenant struct {
	Name id.Organisation
	Keys []string
	// Priority goes before that of the route. Negative means unset.
	Priority int
	// Regions is where its requests may be served. Empty means everywhere.
	Regions []id.Region
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Plan is one version of the configuration. It is immutable once indexed.
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
