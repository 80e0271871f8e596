package bundle

import (
	"context"

	"github.com/urfave/cli/v3"

	"egretproxy/internal/command/operator"
	"egretproxy/internal/control/ledger"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/registry"
	"egretproxy/internal/wire/api"
)

func init() { registry.Register(approveCommand{}) }

// approveCommand signs a bundle off.
type approveCommand struct{}

func (approveCommand) Path() []string      { return []string{"bundle", "approve"} }
func (approveCommand) Aliases() []string   { return nil }
func (approveCommand) Usage() string       { return "sign a bundle off" }
func (approveCommand) Description() string { return "Only an approved bundle can be rolled." }
func (approveCommand) Arguments() string   { return "BUNDLE" }
func (approveCommand) Flags() []cli.Flag   { return operator.ChangeFlags() }

func (approveCommand) Execute(ctx context.Context, c *cli.Command) error {
	b := id.Bundle(c.Args().First())
	return operator.WithSession(ctx, c, func(s *operator.Session, st api.StatusResponse) error {
		return s.Change(ctx, "ApproveBundle", &ledger.ApproveBundle{
			Bundle: b, Base: operator.BaseVersion(c, st.View.Bundles[b].Author.Version),
		})
	})
}
