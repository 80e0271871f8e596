package ledger

import (
	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
)

func init() {
	register("ApplyPolicy", func() Change { return &ApplyPolicy{} })
}

// ApplyPolicy replaces the policy of all entries.
type ApplyPolicy struct {
	Organisations map[id.Organisation]view.Limits
	Routing       string
	// Base is the version of the policy that the operator had seen.
	Base id.Version
}

// Apply replaces the policy. It refuses an invalid policy or an outdated Base.
func (p *ApplyPolicy) Apply(l *Ledger, c Context) Answer {
	if p.Base != l.view.Policy.Author.Version {
		return conflict(p.Base, l.view.Policy.Author)
	}
	for k, v := range p.Organisations {
		if k == "" || v.Weight < 0 || v.Concurrent < 0 {
			return refuse(CodeInvalid, "organisation "+string(k)+": weights and limits may not be negative")
		}
	}
	l.view.Policy = view.Policy{
		Organisations: p.Organisations, Routing: p.Routing,
		Author: c.author("apply"), Changed: c.Version,
	}
	return Answer{}
}
