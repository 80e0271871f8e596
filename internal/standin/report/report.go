// Package report combines the counts of the simulated servers and the load
// generator into a report and checks the invariants of the system.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"egretproxy/internal/standin/loadgen"
	"egretproxy/internal/standin/simengine"
	"egretproxy/internal/standin/simservice"
)

// Input holds the base URLs of the simulated servers and the figures that the
// demonstration measured itself.
type Input struct {
	Engines  []string
	Services []string
	Origin   string
	// LoadFile is the JSON file that the load generator wrote.
	LoadFile string
	// Replicas and Seconds are the results of CountLoaded after the timed
	// rollout.
	Replicas int
	Seconds  float64
	// CopyBytes is the size of one copy of all content. OriginBytes is what
	// the origin sent during the rollouts and NaiveOriginBytes what it sent
	// for the same content to clients that don't share chunks.
	CopyBytes        int64
	OriginBytes      int64
	NaiveOriginBytes int64
}

// Report is the summary that the demonstration prints as its last line.
type Report struct {
	Replicas                  int
	SecondsToReplicas         float64
	OriginCopies              float64
	NaiveOriginCopies         float64
	Requests                  int
	Answered                  int
	RefusedNotRun             int
	OutcomeUnknown            int
	CutOff                    int
	MixedVersions             int
	WorkAfterWithdrawal       int
	RanTwice                  int
	FirstTokenMillisecondsP95 float64
}

// Details holds the figures that only the table shows.
type Details struct {
	Wrong       int
	FalseNotRun int
	LostRecords int
	Overloads   int
	Crashes     int
	Cancelled   int
	CacheHits   int
	CacheMisses int
	Reasons     map[string]int
}

const fetchTimeout = 3 * time.Second

// Build fetches the counts and returns the report. Servers that don't respond are
// left out. It fails if the load generator's file can't be read.
func Build(in Input) (Report, Details, error) {
	var r Report
	var details Details
	var counts loadgen.Counts
	data, err := os.ReadFile(in.LoadFile)
	if err != nil {
		return r, details, errors.Wrap(err, "read load counts")
	}
	if err := json.Unmarshal(data, &counts); err != nil {
		return r, details, errors.Wrap(err, "decode load counts")
	}
	r.Requests, r.Answered = counts.Requests, counts.Answered
	r.RefusedNotRun, r.OutcomeUnknown = counts.RefusedNotRun, counts.OutcomeUnknown
	r.CutOff, r.MixedVersions = counts.CutOff, counts.Mixed
	r.FirstTokenMillisecondsP95 = counts.FirstTokenMilliseconds.P95
	details.Wrong, details.Reasons = counts.Wrong, counts.Reasons
	r.Replicas, r.SecondsToReplicas = in.Replicas, in.Seconds
	r.addEngines(in, &details)
	r.addServices(in, counts, &details)
	if in.CopyBytes > 0 {
		r.OriginCopies = float64(in.OriginBytes) / float64(in.CopyBytes)
		r.NaiveOriginCopies = float64(in.NaiveOriginBytes) / float64(in.CopyBytes)
	}
	return r, details, nil
}

// CountLoaded returns the number of engines that have loaded a bundle and the
// seconds from since, in Unix milliseconds, until the last of them had loaded it.
// Engines that don't respond are left out.
func CountLoaded(engines []string, bundle string, since int64) (replicas int, seconds float64) {
	var last int64
	for _, e := range engines {
		var c simengine.Counts
		if fetchJSON(e+"/counts", &c) != nil {
			continue
		}
		if at, ok := c.LoadedAt[bundle]; ok {
			replicas++
			last = max(last, at)
		}
	}
	if replicas > 0 {
		seconds = float64(last-since) / 1000
	}
	return replicas, seconds
}

func (r *Report) addEngines(in Input, details *Details) {
	for _, e := range in.Engines {
		var c simengine.Counts
		if fetchJSON(e+"/counts", &c) != nil {
			continue
		}
		r.WorkAfterWithdrawal += c.AfterMark
		details.Overloads += c.Overloads
		details.Crashes += c.FellOver
		details.Cancelled += c.Cancelled
		details.CacheHits += c.CacheHits
		details.CacheMisses += c.CacheMiss
	}
}

func (r *Report) addServices(in Input, counts loadgen.Counts, details *Details) {
	runs := map[string]int{}
	for _, e := range in.Services {
		var c simservice.Counts
		if fetchJSON(e+"/counts", &c) != nil {
			continue
		}
		r.WorkAfterWithdrawal += c.AfterMark
		for k, n := range c.Runs {
			runs[k] += n
		}
	}
	for _, n := range runs {
		if n > 1 {
			r.RanTwice++
		}
	}
	for _, k := range counts.NotRun {
		if runs[k] > 0 {
			details.FalseNotRun++
		}
	}
	for _, k := range counts.Done {
		if runs[k] == 0 {
			details.LostRecords++
		}
	}
}

// Violations describes each violated invariant with its count.
func (r Report) Violations(details Details) []string {
	var out []string
	check := func(n int, text string) {
		if n > 0 {
			out = append(out, fmt.Sprintf("%s: %d", text, n))
		}
	}
	check(r.MixedVersions, "answers from mixed versions")
	check(r.WorkAfterWithdrawal, "requests at withdrawn targets after 3 s")
	check(r.RanTwice, "records that were written twice")
	check(details.Wrong, "answers that were wrong or of another request")
	check(details.FalseNotRun, "records refused as not run that ran")
	check(details.LostRecords, "records answered as done that did not run")
	check(details.Overloads, "requests above what a target bore")
	return out
}

// Print writes a table followed by the report as one line of JSON.
func (r Report) Print(w io.Writer, details Details) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	rows := [][2]string{
		{"Replicas", fmt.Sprint(r.Replicas)},
		{"Seconds to replicas", fmt.Sprintf("%.2f", r.SecondsToReplicas)},
		{"Origin copies", fmt.Sprintf("%.2f", r.OriginCopies)},
		{"Origin copies, naive", fmt.Sprintf("%.2f", r.NaiveOriginCopies)},
		{"Requests", fmt.Sprint(r.Requests)},
		{"Answered", fmt.Sprint(r.Answered)},
		{"Refused, not run", fmt.Sprint(r.RefusedNotRun)},
		{"Outcome unknown", fmt.Sprint(r.OutcomeUnknown)},
		{"Cut off", fmt.Sprint(r.CutOff)},
		{"Mixed versions", fmt.Sprint(r.MixedVersions)},
		{"Work after withdrawal", fmt.Sprint(r.WorkAfterWithdrawal)},
		{"Ran twice", fmt.Sprint(r.RanTwice)},
		{"First token, 95 of 100, ms", fmt.Sprintf("%.1f", r.FirstTokenMillisecondsP95)},
		{"Wrong answers", fmt.Sprint(details.Wrong)},
		{"Refused as not run but ran", fmt.Sprint(details.FalseNotRun)},
		{"Requests above what was borne", fmt.Sprint(details.Overloads)},
		{"Engines that fell over", fmt.Sprint(details.Crashes)},
		{"Cancelled at engines", fmt.Sprint(details.Cancelled)},
		{"Prefix blocks from cache", fmt.Sprintf("%d of %d", details.CacheHits, details.CacheHits+details.CacheMisses)},
		{"Reasons", fmt.Sprint(details.Reasons)},
	}
	for _, row := range rows {
		_, _ = fmt.Fprintf(t, "%s\t%s\n", row[0], row[1])
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return json.NewEncoder(w).Encode(r)
}

func fetchJSON(url string, v any) error {
	client := http.Client{Timeout: fetchTimeout}
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(v)
}
