// Package explain holds the command that finds a request's way in the logs.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"egretproxy/internal/kernel/registry"
)

func init() { registry.Register(command{}) }

// contextWindow is how long before a decision changes of belief are shown.
const contextWindow = 10 * time.Second

// maxLineBytes bounds one line of a log in bytes.
const maxLineBytes = 1 << 20

// stateChanges are the messages that tell a change of what a process believes.
var stateChanges = map[string]bool{
	"Plan is in force": true, "Agreed state changed": true, "Connection to keeper changed": true,
	"Leadership changed": true, "Confirmation by the quorum changed": true, "Target changed": true,
	"Target has left": true, "Target is left out for a while": true, "Process starts": true,
	"Process stops": true, "Gateway drains": true, "Connection to engine changed": true,
	"Weights are in place": true, "Membership changes": true, "Settings were read again": true,
}

// command prints the way of one request.
type command struct{}

func (command) Path() []string    { return []string{"explain"} }
func (command) Aliases() []string { return nil }
func (command) Usage() string     { return "find a request's way in the logs of any number of processes" }
func (command) Arguments() string { return "REQUEST [FILE...]" }
func (command) Flags() []cli.Flag {
	return []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print the lines as JSON"}}
}

func (command) Description() string {
	return "Reads logs from the files, or from standard input, and prints the decisions about the request in order, with what its processes and targets came to believe in the ten seconds before. Text before the JSON of a line is passed over."
}

func (command) Execute(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return errors.New("name the request")
	}
	var lines []logLine
	for _, name := range c.Args().Tail() {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		more, err := readLines(f)
		_ = f.Close()
		if err != nil {
			return errors.Wrap(err, name)
		}
		lines = append(lines, more...)
	}
	if c.Args().Len() == 1 {
		var err error
		if lines, err = readLines(os.Stdin); err != nil {
			return errors.Wrap(err, "standard input")
		}
	}
	way := findLines(lines, c.Args().First())
	if len(way) == 0 {
		return errors.Errorf("no line names request %s; it may have been left out to bound the log", c.Args().First())
	}
	return writeLines(os.Stdout, way, c.Bool("json"))
}

// logLine is one logLine of a log.
type logLine struct {
	time   time.Time
	msg    string
	fields map[string]any
}

func (l logLine) field(name string) string {
	v, ok := l.fields[name]
	if !ok {
		return ""
	}
	return fmt.Sprint(v)
}

// readLines returns the lines that hold JSON.
func readLines(r io.Reader) ([]logLine, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	var out []logLine
	for s.Scan() {
		i := bytes.IndexByte(s.Bytes(), '{')
		if i < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(s.Bytes()[i:], &fields) != nil {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, fmt.Sprint(fields["time"]))
		if err != nil {
			continue
		}
		out = append(out, logLine{time: at, msg: fmt.Sprint(fields["msg"]), fields: fields})
	}
	return out, s.Err()
}

// findLines returns the lines about a request and, before them, the changes of
// belief of the processes and about the targets that it met.
func findLines(lines []logLine, request string) []logLine {
	var way []logLine
	met := map[string]bool{}
	for _, l := range lines {
		if l.field("Request") != request {
			continue
		}
		way = append(way, l)
		met[l.field("Process")] = true
		for _, name := range []string{"Target", "After"} {
			met[l.field(name)] = true
		}
		for k := range strings.FieldsSeq(strings.Trim(l.field("Tried"), "[]")) {
			met[k] = true
		}
	}
	if len(way) == 0 {
		return nil
	}
	delete(met, "")
	byTime := func(a, b logLine) int { return cmp.Compare(a.time.UnixNano(), b.time.UnixNano()) }
	slices.SortStableFunc(way, byTime)
	first, last := way[0].time.Add(-contextWindow), way[len(way)-1].time
	for _, l := range lines {
		if l.field("Request") == "" && stateChanges[l.msg] && !l.time.Before(first) && !l.time.After(last) &&
			(met[l.field("Process")] || met[l.field("Target")]) {
			way = append(way, l)
		}
	}
	slices.SortStableFunc(way, byTime)
	return way
}

func writeLines(w io.Writer, way []logLine, asJSON bool) error {
	for _, l := range way {
		if asJSON {
			if err := json.NewEncoder(w).Encode(l.fields); err != nil {
				return err
			}
			continue
		}
		var rest []string
		for name, v := range l.fields {
			if name != "time" && name != "level" && name != "msg" && name != "Process" && name != "Request" {
				rest = append(rest, fmt.Sprintf("%s=%v", name, v))
			}
		}
		slices.Sort(rest)
		if _, err := fmt.Fprintf(w, "%s  %-28s %-32s %s\n", l.time.Format("15:04:05.000"), l.field("Process"), l.msg, strings.Join(rest, " ")); err != nil {
			return err
		}
	}
	return nil
}
