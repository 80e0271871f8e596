package domain

import (
	"context"

	"github.com/urfave/cli/v3"

	"egretproxy/internal/command/operator"
	"egretproxy/internal/control/ledger"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/registry"
	"egretproxy/internal/wire/api"
)

func init() { registry.Register(returnCommand{}) }

// returnCommand brings a failure domain back into service.
type returnCommand struct{}

func (returnCommand) Path() []string    { return []string{"domain", "return"} }
func (returnCommand) Aliases() []string { return nil }
func (returnCommand) Usage() string     { return "bring a failure domain back into service" }
func (returnCommand) Description() string {
	return "The load returns in step with what its targets bear."
}
func (returnCommand) Arguments() string { return "DOMAIN" }
func (returnCommand) Flags() []cli.Flag { return operator.ChangeFlags() }

func (returnCommand) Execute(ctx context.Context, c *cli.Command) error {
	d := id.Domain(c.Args().First())
	return operator.WithSession(ctx, c, func(s *operator.Session, st api.StatusResponse) error {
		return s.Change(ctx, "ReturnDomain", &ledger.ReturnDomain{
			Domain: d, Base: operator.BaseVersion(c, st.View.Domains[d].Author.Version),
		})
	})
}
