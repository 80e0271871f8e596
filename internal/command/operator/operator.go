// Package operator holds what the operators' commands share: the connection to
// the keepers, the output, and waiting until all processes have applied a
// change.
package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"egretproxy/internal/control/ledger"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/settings/config"
	"egretproxy/internal/wire/api"
	"egretproxy/internal/wire/frame"
	"egretproxy/internal/wire/keepers"
	"egretproxy/internal/wire/security"
)

// Exit codes besides 0 and 1.
const (
	// ExitRefused means that the keepers rejected the change.
	ExitRefused = 2
	// ExitConflict means that the change is based on an outdated version.
	ExitConflict = 3
	// ExitOutcomeUnknown means that the outcome is unknown. The change can safely
	// be resent with the same --request.
	ExitOutcomeUnknown = 4
)

const (
	rpcTimeout   = 10 * time.Second
	applyTimeout = 30 * time.Second
	pollInterval = 200 * time.Millisecond
)

// Session is an operator command's connection to the keepers.
type Session struct {
	client     *keepers.Client
	operator   id.Operator
	request    id.Request
	jsonOutput bool
	wait       bool
}

// Flags returns the flags that all operator commands take.
func Flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "config", Aliases: []string{"c"}, Usage: "settings file with Keepers and Security"},
		&cli.StringSliceFlag{Name: "keeper", Usage: "address of a keeper, instead of a settings file"},
		&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "table", Usage: "output format, table or json"},
	}
}

// ChangeFlags returns the flags that all commands take that make a change.
func ChangeFlags() []cli.Flag {
	return append(Flags(),
		&cli.StringFlag{Name: "operator", Sources: cli.EnvVars("USER"), Usage: "name recorded as the author of the change"},
		&cli.StringFlag{Name: "request", Usage: "request id; a resend with the same id is applied only once"},
		&cli.IntFlag{Name: "based-on", Value: -1, Usage: "version that the change is based on; the newest if omitted"},
		&cli.BoolFlag{Name: "no-wait", Usage: "return once the change is committed, without waiting until all processes have applied it"},
	)
}

// Open connects to the keepers that the flags or the settings file name. The
// caller must close the session.
func Open(c *cli.Command) (*Session, error) {
	var cfg config.Config
	if name := c.String("config"); name != "" {
		loaded, err := config.Load(name)
		if err != nil {
			return nil, err
		}
		cfg = loaded
	}
	addresses := cfg.Keepers.Addresses
	if list := c.StringSlice("keeper"); len(list) > 0 {
		addresses = list
	}
	if len(addresses) == 0 {
		return nil, errors.New("no keepers: --config or --keeper is required")
	}
	s := cfg.Security
	identity, err := security.Load(s.Authority, s.Certificate, s.Key)
	if err != nil {
		return nil, err
	}
	if o := c.String("output"); o != "table" && o != "json" {
		return nil, errors.Errorf("--output must be table or json, not %q", o)
	}
	request := id.Request(c.String("request"))
	if request == "" {
		request = id.NewRequest()
	}
	return &Session{
		client:   keepers.New(addresses, identity.Client(), frame.Codec{}, 0),
		operator: id.Operator(c.String("operator")), request: request,
		jsonOutput: c.String("output") == "json", wait: !c.Bool("no-wait"),
	}, nil
}

// Close closes the connection to the keepers.
func (s *Session) Close() { s.client.Close() }

// Status returns the replicated state and the processes that subscribe to it.
func (s *Session) Status(ctx context.Context) (api.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	var out api.StatusResponse
	err := s.client.CallAny(ctx, api.MethodStatus, nil, &out)
	return out, err
}

// WithSession opens a session, fetches the status and calls f with both. The
// session is closed when f returns.
func WithSession(ctx context.Context, c *cli.Command, f func(s *Session, st api.StatusResponse) error) error {
	s, err := Open(c)
	if err != nil {
		return err
	}
	defer s.Close()
	st, err := s.Status(ctx)
	if err != nil {
		return err
	}
	return f(s, st)
}

// BaseVersion returns the version that a change is based on: the value of
// --based-on, or the newest version if the flag is not set.
func BaseVersion(c *cli.Command, newest id.Version) id.Version {
	if v := c.Int("based-on"); v >= 0 {
		return id.Version(v)
	}
	return newest
}

// Change submits a change and waits until all processes have applied it, unless
// --no-wait is set. It prints the result. Errors carry the command's exit code.
func (s *Session) Change(ctx context.Context, name string, change ledger.Change) error {
	e, err := ledger.Encode(name, change)
	if err != nil {
		return err
	}
	e.Request = s.request
	e.Operator = s.operator
	call, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	a, err := s.client.Submit(call, e)
	if err != nil {
		return cli.Exit(fmt.Sprintf("%v; resend with --request %s", err, s.request), ExitOutcomeUnknown)
	}
	if a.Code != ledger.CodeDone {
		return s.refusalError(a)
	}
	if !s.wait {
		return s.Print(a, [][]string{{"AGREED AT", "REQUEST"}, {fmt.Sprint(a.Version), string(s.request)}})
	}
	return s.waitApplied(ctx, a)
}

func (s *Session) refusalError(a ledger.Answer) error {
	text := string(a.Code) + ": " + a.Text
	if a.Winner != nil {
		text += fmt.Sprintf(" (by %s: %s, version %d)", a.Winner.Operator, a.Winner.What, a.Winner.Version)
	}
	if s.jsonOutput {
		_ = json.NewEncoder(os.Stdout).Encode(a)
	}
	if a.Code == ledger.CodeConflict {
		return cli.Exit(text, ExitConflict)
	}
	return cli.Exit(text, ExitRefused)
}

// Propagation describes which processes have applied a version.
type Propagation struct {
	Version id.Version
	// Confirmed is the number of processes that have applied the version.
	Confirmed int
	// Lapsed lists the processes that have been silent for longer than the
	// lease and therefore have stopped acting.
	Lapsed []string
	// Waiting lists the processes that may still act on an older version.
	Waiting []string
}

// PropagationOf returns the propagation of a version according to a status.
func PropagationOf(st api.StatusResponse, v id.Version) Propagation {
	f := Propagation{Version: v, Lapsed: []string{}, Waiting: []string{}}
	for _, p := range st.Subscribers {
		switch {
		case p.Have >= v:
			f.Confirmed++
		case p.SilentMilliseconds > st.LeaseMilliseconds:
			f.Lapsed = append(f.Lapsed, p.Role+"/"+p.Name)
		default:
			f.Waiting = append(f.Waiting, p.Role+"/"+p.Name)
		}
	}
	return f
}

// waitApplied waits until no process can act on an older version, for at most
// applyTimeout, and prints the propagation.
func (s *Session) waitApplied(ctx context.Context, a ledger.Answer) error {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	for {
		st, err := s.Status(ctx)
		if err != nil {
			return cli.Exit("change is committed, but its propagation is unknown: "+err.Error(), 1)
		}
		f := PropagationOf(st, a.Version)
		if len(f.Waiting) == 0 {
			return s.Print(f, [][]string{
				{"IN FORCE AT", "CONFIRMED", "LAPSED"},
				{fmt.Sprint(f.Version), fmt.Sprint(f.Confirmed), fmt.Sprint(len(f.Lapsed))},
			})
		}
		fmt.Fprintf(os.Stderr, "version %d: %d confirmed, %d waiting\n", f.Version, f.Confirmed, len(f.Waiting))
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return cli.Exit(fmt.Sprintf("change is committed, but not yet applied by %v", f.Waiting), 1)
		}
	}
}

// Print writes v to standard output as JSON, or rows as a table. The first row
// is the header.
func (s *Session) Print(v any, rows [][]string) error {
	if s.jsonOutput {
		return json.NewEncoder(os.Stdout).Encode(v)
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				_, _ = fmt.Fprint(t, "\t")
			}
			_, _ = fmt.Fprint(t, cell)
		}
		_, _ = fmt.Fprintln(t)
	}
	return t.Flush()
}
