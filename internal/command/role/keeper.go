package role

import (
	"context"

	"github.com/urfave/cli/v3"

	"egretproxy/internal/kernel/registry"
	"egretproxy/internal/role/keeper"
)

func init() { registry.Register(keeperCommand{}) }

// keeperCommand runs the keeper role.
type keeperCommand struct{}

func (keeperCommand) Path() []string    { return []string{"keeper"} }
func (keeperCommand) Aliases() []string { return nil }
func (keeperCommand) Usage() string     { return "hold the agreed state on disk" }
func (keeperCommand) Arguments() string { return "" }
func (keeperCommand) Flags() []cli.Flag { return []cli.Flag{configFlag()} }

func (keeperCommand) Description() string {
	return "A keeper runs on each of the few instances with a disk. Prepare the first group with 'keeper init'; a keeper with an empty data folder joins a group that exists."
}

func (keeperCommand) Execute(ctx context.Context, c *cli.Command) error {
	return runRole(ctx, c, "Keeper", keeper.Run)
}
