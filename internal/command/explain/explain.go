// Package explain implements the command that traces a request through the logs.
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

// contextWindow is how long before the first line about a request state changes
// are shown.
const contextWindow = 10 * time.Second

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// stateChanges are the messages about a change of a process's own state or of
// its view of other processes.
var stateChanges = map[string]bool{
	"Plan is in force": true, "Agreed state changed": true, "Connection to keeper changed": true,
	"Leadership changed": true, "Confirmation by the quorum changed": true, "Target changed": true,
	"Target has left": true, "Target is left out for a while": true, "Target leaves": true, "Target asks for a pause": true, "Process starts": true,
	"Process stops": true, "Entry is draining": true, "Connection to engine changed": true,
	"Test of a verdict was requested": true,
	"Weights are in place":            true, "Membership changes": true, "Settings were read again": true,
	"Process did not run": true,
}

// verdictLines are the messages that lead to a verdict on parts of prompts, or on a
// request, or end it. They may be much older than the request, and of any process.
var verdictLines = map[string]bool{
	"Target ended before the response began": true, "Target ended under the request": true, "Parts of prompts or a request are shut out": true,
	"Response clears a part of prompts or a request": true, "Verdicts are lifted by an operator": true,
	"Request tests a verdict": true,
}

// command prints the log lines that explain how a request was handled.
type command struct{}

func (command) Path() []string    { return []string{"explain"} }
func (command) Aliases() []string { return nil }
func (command) Usage() string     { return "trace a request through the logs of any number of processes" }
func (command) Arguments() string { return "REQUEST [FILE...]" }
func (command) Flags() []cli.Flag {
	return []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print the lines as JSON"}}
}

func (command) Description() string {
	return "Reads logs from the files, or from standard input, and prints the decisions about the request in order of time, with the state changes of its processes and targets from ten seconds before. Text before the JSON of a line is ignored."
}

func (command) Execute(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return errors.New("a request id is required")
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
	trace := findLines(lines, c.Args().First())
	if len(trace) == 0 {
		return errors.Errorf("no log line for request %s; it may have been dropped to limit the size of the log", c.Args().First())
	}
	return writeLines(os.Stdout, trace, c.Bool("json"))
}

// logLine is a parsed line of a log.
type logLine struct {
	time   time.Time
	msg    string
	fields map[string]any
}

// list returns the elements of a field that is a list, or its only value.
func (l logLine) list(name string) []string {
	return strings.Fields(strings.Trim(l.field(name), "[]"))
}

func (l logLine) field(name string) string {
	v, ok := l.fields[name]
	if !ok {
		return ""
	}
	return fmt.Sprint(v)
}

// readLines returns the lines that contain a JSON object with a valid time, and
// skips all others.
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

// concerns reports whether the line names one of the parts or digests.
func (l logLine) concerns(parts map[string]bool) bool {
	for _, name := range []string{"Parts", "Part", "Digest", "Verdict"} {
		for _, p := range l.list(name) {
			if parts[p] {
				return true
			}
		}
	}
	return false
}

// findLines returns the lines about a request, the state changes of its processes
// and targets, and what led to the verdict by which it was refused, in order of
// time. It returns nil if no line is about the request.
func findLines(lines []logLine, request string) []logLine {
	var trace []logLine
	involved, accused := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if l.field("Request") != request {
			continue
		}
		trace = append(trace, l)
		involved[l.field("Process")] = true
		for _, name := range []string{"Target", "After"} {
			involved[l.field(name)] = true
		}
		for _, k := range l.list("Tried") {
			involved[k] = true
		}
		for _, p := range l.list("Verdict") {
			accused[p] = true
		}
	}
	if len(trace) == 0 {
		return nil
	}
	delete(involved, "")
	byTime := func(a, b logLine) int { return cmp.Compare(a.time.UnixNano(), b.time.UnixNano()) }
	slices.SortStableFunc(trace, byTime)
	first, last := trace[0].time.Add(-contextWindow), trace[len(trace)-1].time
	for _, l := range lines {
		if verdictLines[l.msg] && l.field("Request") != request && !l.time.After(last) && l.concerns(accused) {
			trace = append(trace, l)
		}
		if l.field("Request") == "" && stateChanges[l.msg] && !l.time.Before(first) && !l.time.After(last) &&
			(involved[l.field("Process")] || involved[l.field("Target")]) {
			trace = append(trace, l)
		}
	}
	slices.SortStableFunc(trace, byTime)
	return trace
}

func writeLines(w io.Writer, trace []logLine, asJSON bool) error {
	for _, l := range trace {
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
