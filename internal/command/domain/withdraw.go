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

func init() { registry.Register(withdrawCommand{}) }

// withdrawCommand takes a failure domain out of service.
type withdrawCommand struct{}

func (withdrawCommand) Path() []string    { return []string{"domain", "withdraw"} }
func (withdrawCommand) Aliases() []string { return nil }
func (withdrawCommand) Usage() string     { return "take a failure domain out of service" }
func (withdrawCommand) Description() string {
	return "No target of the domain gets new work after three seconds. Requests in progress end."
}
func (withdrawCommand) Arguments() string { return "DOMAIN" }
func (withdrawCommand) Flags() []cli.Flag { return operator.ChangeFlags() }

func (withdrawCommand) Execute(ctx context.Context, c *cli.Command) error {
	d := id.Domain(c.Args().First())
	return operator.WithSession(ctx, c, func(s *operator.Session, st api.StatusResponse) error {
		return s.Change(ctx, "WithdrawDomain", &ledger.WithdrawDomain{
			Domain: d, Base: operator.BaseVersion(c, st.View.Domains[d].Author.Version),
		})
	})
}
