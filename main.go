// Command egretproxy distributes model weights to targets and routes requests
// to them.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	_ "egretproxy/internal/command/bundle"
	_ "egretproxy/internal/command/configcmd"
	_ "egretproxy/internal/command/domain"
	_ "egretproxy/internal/command/explain"
	_ "egretproxy/internal/command/quarantine"
	_ "egretproxy/internal/command/role"
	_ "egretproxy/internal/command/target"
	"egretproxy/internal/kernel/build"
	"egretproxy/internal/kernel/registry"
	_ "egretproxy/internal/routing/affinity"
	_ "egretproxy/internal/routing/leastloaded"
	_ "egretproxy/internal/routing/roundrobin"
	_ "egretproxy/internal/target/engine"
	_ "egretproxy/internal/target/service"
	_ "egretproxy/internal/weights/direct"
	_ "egretproxy/internal/weights/swarm"
	_ "egretproxy/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	app := &cli.Command{
		Name: "egretproxy", Usage: "distribute model weights and route requests in bursts",
		Version:  build.Read().String(),
		Commands: registry.Commands(),
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "egretproxy:", err)
		os.Exit(1)
	}
}
