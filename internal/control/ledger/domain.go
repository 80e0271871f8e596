package ledger

import (
	"egretproxy/internal/control/lifecycle"
	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
)

func init() {
	register("WithdrawDomain", func() Change { return &WithdrawDomain{} })
	register("ReturnDomain", func() Change { return &ReturnDomain{} })
}

// WithdrawDomain takes a failure domain out of service.
type WithdrawDomain struct {
	Domain id.Domain
	// Base is the version of the domain's newest change that the operator
	// saw.
	Base id.Version
}

// Apply withdraws the domain.
func (w *WithdrawDomain) Apply(l *Ledger, c Context) Answer {
	return l.transitionDomain(w.Domain, w.Base, lifecycle.Withdraw, c, "withdraw")
}

// ReturnDomain brings a failure domain back into service.
type ReturnDomain struct {
	Domain id.Domain
	Base   id.Version
}

// Apply returns the domain.
func (r *ReturnDomain) Apply(l *Ledger, c Context) Answer {
	return l.transitionDomain(r.Domain, r.Base, lifecycle.Return, c, "return")
}

func (l *Ledger) transitionDomain(k id.Domain, base id.Version, t lifecycle.Trigger, c Context, what string) Answer {
	d, ok := l.view.Domains[k]
	if !ok {
		return refuse(CodeUnknown, "there is no failure domain "+string(k))
	}
	if base != d.Author.Version {
		return conflict(base, d.Author)
	}
	next, err := lifecycle.Domain(d.State, t)
	if err != nil {
		a := refuse(CodeNotAllowed, "failure domain "+string(k)+": "+err.Error())
		a.Winner = &d.Author
		return a
	}
	d.State = next
	d.Author = c.author(what)
	d.Changed = c.Version
	l.view.Domains[k] = d
	return Answer{}
}

// ensureDomain creates the record of a domain when its first target announces
// itself.
func (l *Ledger) ensureDomain(k id.Domain, r id.Region, c Context) {
	if _, ok := l.view.Domains[k]; ok {
		return
	}
	l.view.Domains[k] = view.Domain{ID: k, Region: r, State: view.DomainInService, Changed: c.Version}
}
