package quarantine

import (
	"context"

	"github.com/urfave/cli/v3"

	"egretproxy/internal/kernel/registry"
)

func init() { registry.Register(listCommand{}) }

// listCommand lists the parts of prompts, and the requests, that are shut out.
type listCommand struct{}

func (listCommand) Path() []string    { return []string{"quarantine", "list"} }
func (listCommand) Aliases() []string { return []string{"ls"} }
func (listCommand) Usage() string {
	return "list the parts of prompts, and the requests, that are shut out"
}
func (listCommand) Arguments() string { return "" }
func (listCommand) Flags() []cli.Flag { return flags() }
func (listCommand) Description() string {
	return "Requests with all parts of a row are refused. A row with request: and a digest shuts out one request."
}

func (listCommand) Execute(ctx context.Context, c *cli.Command) error { return call(ctx, c, "") }
