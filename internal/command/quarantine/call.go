package quarantine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/evidence"
	"egretproxy/internal/site/quarantine"
	"egretproxy/internal/wire/rpc"
)

// callTimeout limits one call to one keeper.
const callTimeout = 5 * time.Second

func flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "keeper", Usage: "address of a keeper for the site's other processes; may be repeated", Required: true},
		&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "table", Usage: "output format, table or json"},
	}
}

// call asks the keepers in turn and prints the verdicts that remain.
func call(ctx context.Context, c *cli.Command, lift id.PromptPart) error {
	last := errors.New("no keeper was given")
	for _, address := range c.StringSlice("keeper") {
		verdicts, err := ask(ctx, address, lift)
		if err == nil {
			return write(c.Root().Writer, verdicts, c.String("output"))
		}
		last = errors.Wrap(err, address)
	}
	return last
}

func ask(ctx context.Context, address string, lift id.PromptPart) ([]quarantine.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := &rpc.Client{Address: address}
	defer client.Close()
	var out []quarantine.Verdict
	err := client.Call(ctx, evidence.QuarantineMethod, evidence.QuarantineRequest{Lift: lift}, &out)
	return out, err
}

func write(w io.Writer, verdicts []quarantine.Verdict, format string) error {
	if format == "json" {
		return json.NewEncoder(w).Encode(verdicts)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "PARTS\tENGINES ENDED\tTESTS\tLAST CHANGE\tLAST TEST BY")
	for _, v := range verdicts {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%s\n", v.Key(), v.Ends, v.Tests, time.UnixMilli(v.ChangedMs).Format(time.RFC3339), v.Holder)
	}
	return table.Flush()
}
