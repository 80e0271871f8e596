package role

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"egretproxy/internal/kernel/registry"
	"egretproxy/internal/role/keeper"
)

func init() { registry.Register(keeperInitCommand{}) }

// keeperInitCommand prepares the first start of a group of keepers.
type keeperInitCommand struct{}

func (keeperInitCommand) Path() []string    { return []string{"keeper", "init"} }
func (keeperInitCommand) Aliases() []string { return nil }
func (keeperInitCommand) Usage() string     { return "prepare the first start of a group of keepers" }
func (keeperInitCommand) Arguments() string { return "" }
func (keeperInitCommand) Flags() []cli.Flag { return []cli.Flag{configFlag()} }

func (keeperInitCommand) Description() string {
	return "Run this once for each keeper of a new group, with the same Keeper.Members. Never run it to replace a lost disk: start the keeper on the empty folder instead, and it joins as a new member."
}

func (keeperInitCommand) Execute(_ context.Context, c *cli.Command) error {
	cfg, err := loadSettings(c)
	if err != nil {
		return err
	}
	if err := keeper.Bootstrap(cfg); err != nil {
		return err
	}
	fmt.Println("keeper", cfg.Process.Name, "is prepared in", cfg.Keeper.Data)
	return nil
}
