// Package configcmd holds the commands for settings and policies.
package configcmd

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"egretproxy/internal/kernel/registry"
	"egretproxy/internal/settings/config"
)

func init() {
	registry.DescribeGroup("config", "check settings and apply policies")
	registry.Register(checkCommand{})
}

// checkCommand checks settings files.
type checkCommand struct{}

func (checkCommand) Path() []string    { return []string{"config", "check"} }
func (checkCommand) Aliases() []string { return nil }
func (checkCommand) Usage() string     { return "check settings files" }
func (checkCommand) Arguments() string { return "FILE..." }
func (checkCommand) Flags() []cli.Flag { return nil }

func (checkCommand) Description() string {
	return "Names file, line, key and reason of what is wrong, and exits with 1."
}

func (checkCommand) Execute(_ context.Context, c *cli.Command) error {
	if c.NArg() == 0 {
		return cli.Exit("name at least one settings file", 1)
	}
	for _, name := range c.Args().Slice() {
		if _, err := config.Load(name); err != nil {
			return cli.Exit(err.Error(), 1)
		}
		fmt.Println(name+":", "ok")
	}
	return nil
}
