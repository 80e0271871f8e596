package configcmd

import (
	"context"
	"fmt"
	"slices"

	"github.com/urfave/cli/v3"

	"egretproxy/internal/command/operator"
	"egretproxy/internal/control/ledger"
	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/registry"
	"egretproxy/internal/settings/configfile"
	"egretproxy/internal/wire/api"
)

func init() { registry.Register(applyCommand{}) }

// routingPolicies are the routing policies that operators may name.
var routingPolicies = []string{"", "Affinity", "LeastLoaded", "RoundRobin"}

// policyFile is the policy of all entries, as operators write it.
type policyFile struct {
	Routing       string
	Organisations map[id.Organisation]view.Limits
}

// Check implements configfile.Checker.
func (p *policyFile) Check() []configfile.Problem {
	var out []configfile.Problem
	if !slices.Contains(routingPolicies, p.Routing) {
		out = append(out, configfile.Problem{Key: "Routing", Reason: "is none of Affinity, LeastLoaded, RoundRobin"})
	}
	for k, o := range p.Organisations {
		if o.Weight < 1 {
			out = append(out, configfile.Problem{Key: fmt.Sprintf("Organisations.%s.Weight", k), Reason: "is below 1"})
		}
		if o.Concurrent < 0 {
			out = append(out, configfile.Problem{Key: fmt.Sprintf("Organisations.%s.Concurrent", k), Reason: "is negative"})
		}
	}
	return out
}

// applyCommand replaces the policy of all entries.
type applyCommand struct{}

func (applyCommand) Path() []string    { return []string{"config", "apply"} }
func (applyCommand) Aliases() []string { return nil }
func (applyCommand) Usage() string     { return "replace the policy of all entries" }
func (applyCommand) Arguments() string { return "FILE" }
func (applyCommand) Flags() []cli.Flag { return operator.ChangeFlags() }

func (applyCommand) Description() string {
	return "The file is JSON with comments: Routing, and Organisations with Weight, Concurrent and Priority."
}

func (applyCommand) Execute(ctx context.Context, c *cli.Command) error {
	var p policyFile
	if err := configfile.Load(c.Args().First(), &p); err != nil {
		return cli.Exit(err.Error(), 1)
	}
	return operator.WithSession(ctx, c, func(s *operator.Session, st api.StatusResponse) error {
		return s.Change(ctx, "ApplyPolicy", &ledger.ApplyPolicy{
			Organisations: p.Organisations, Routing: p.Routing,
			Base: operator.BaseVersion(c, st.View.Policy.Author.Version),
		})
	})
}
