package plan

import (
	"cmp"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// Index validates the plan and builds its lookup tables.
func (p *Plan) Index() error {
	p.hosts = map[string][]*Route{}
	p.keys = map[string]*Tenant{}
	for i := range p.Routes {
		r := &p.Routes[i]
		if err := p.checkRoute(r); err != nil {
			return errors.Wrapf(err, "route %q", r.Name)
		}
		for _, o := range p.hosts[r.Host] {
			if o.Prefix == r.Prefix {
				return errors.Errorf("routes %q and %q share host and prefix", o.Name, r.Name)
			}
		}
		p.hosts[r.Host] = append(p.hosts[r.Host], r)
	}
	for _, routes := range p.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range p.Tenants {
		t := &p.Tenants[i]
		for _, k := range t.Keys {
			if o := p.keys[k]; o != nil && o.Name != t.Name {
				return errors.Errorf("tenants %q and %q share a key", o.Name, t.Name)
			}
			p.keys[k] = t
		}
	}
	return nil
}

func (p *Plan) checkRoute(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return errors.Errorf("prefix %q does not begin and end with a slash", r.Prefix)
	}
	if r.Timeout <= 0 {
		return errors.New("time-out is not positive")
	}
	total := 0
	for _, s := range r.Shares {
		if p.Services[s.Service] == nil {
			return errors.Errorf("service %q is not known", s.Service)
		}
		if s.Weight < 0 {
			return errors.New("a weight is negative")
		}
		total += s.Weight
	}
	if total == 0 {
		return errors.New("weights add up to 0")
	}
	return nil
}

// Match returns the route of the host with the longest matching prefix, or nil.
func (p *Plan) Match(host, path string) *Route {
	for _, r := range p.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HasTenants reports whether requests need a key.
func (p *Plan) HasTenants() bool { return len(p.Tenants) > 0 }

// TenantOf returns the holder of a key, or nil.
func (p *Plan) TenantOf(key string) *Tenant { return p.keys[key] }
