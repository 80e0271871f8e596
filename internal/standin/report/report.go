// Package report puts together what the stand-ins and the load counted, and
// judges what must always hold.
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

// Input says where the counts are.
type Input struct {
	Engines  []string
	Services []string
	Origin   string
	// LoadFile is the JSON file that the load wrote.
	LoadFile string
	// Replicas and Seconds are what Loaded counted after the timed rollout.
	Replicas int
	Seconds  float64
	// CopyBytes is the size of one copy of all content, and NaiveOriginBytes what
	// the naive twin drew.
	CopyBytes        int64
	OriginBytes      int64
	NaiveOriginBytes int64
}

// Report is the last line of the demonstration.
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

// Details is what the table shows besides.
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

// Build asks the stand-ins and puts the report together.
func Build(s Input) (Report, Details, error) {
	var r Report
	var x Details
	var counts loadgen.Counts
	data, err := os.ReadFile(s.LoadFile)
	if err != nil {
		return r, x, errors.Wrap(err, "read load counts")
	}
	if err := json.Unmarshal(data, &counts); err != nil {
		return r, x, errors.Wrap(err, "decode load counts")
	}
	r.Requests, r.Answered = counts.Requests, counts.Answered
	r.RefusedNotRun, r.OutcomeUnknown = counts.RefusedNotRun, counts.OutcomeUnknown
	r.CutOff, r.MixedVersions = counts.CutOff, counts.Mixed
	r.FirstTokenMillisecondsP95 = counts.FirstTokenMilliseconds.P95
	x.Wrong, x.Reasons = counts.Wrong, counts.Reasons
	r.Replicas, r.SecondsToReplicas = s.Replicas, s.Seconds
	r.addEngines(s, &x)
	r.addServices(s, counts, &x)
	if s.CopyBytes > 0 {
		r.OriginCopies = float64(s.OriginBytes) / float64(s.CopyBytes)
		r.NaiveOriginCopies = float64(s.NaiveOriginBytes) / float64(s.CopyBytes)
	}
	return r, x, nil
}

// CountLoaded counts the engines that have loaded a bundle, and the seconds from a
// time in Unix milliseconds until the last of them did.
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

func (r *Report) addEngines(s Input, x *Details) {
	for _, e := range s.Engines {
		var c simengine.Counts
		if fetchJSON(e+"/counts", &c) != nil {
			continue
		}
		r.WorkAfterWithdrawal += c.AfterMark
		x.Overloads += c.Overloads
		x.Crashes += c.FellOver
		x.Cancelled += c.Cancelled
		x.CacheHits += c.CacheHits
		x.CacheMisses += c.CacheMiss
	}
}

func (r *Report) addServices(s Input, counts loadgen.Counts, x *Details) {
	runs := map[string]int{}
	for _, e := range s.Services {
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
			x.FalseNotRun++
		}
	}
	for _, k := range counts.Done {
		if runs[k] == 0 {
			x.LostRecords++
		}
	}
}

// Violations lists what must always hold and did not.
func (r Report) Violations(x Details) []string {
	var out []string
	check := func(n int, text string) {
		if n > 0 {
			out = append(out, fmt.Sprintf("%s: %d", text, n))
		}
	}
	check(r.MixedVersions, "answers from mixed versions")
	check(r.WorkAfterWithdrawal, "requests at withdrawn targets after 3 s")
	check(r.RanTwice, "records that were written twice")
	check(x.Wrong, "answers that were wrong or of another request")
	check(x.FalseNotRun, "records refused as not run that ran")
	check(x.LostRecords, "records answered as done that did not run")
	check(x.Overloads, "requests above what a target bore")
	return out
}

// Print writes a table for people and the report as one line of JSON.
func (r Report) Print(w io.Writer, x Details) error {
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
		{"Wrong answers", fmt.Sprint(x.Wrong)},
		{"Refused as not run but ran", fmt.Sprint(x.FalseNotRun)},
		{"Requests above what was borne", fmt.Sprint(x.Overloads)},
		{"Engines that fell over", fmt.Sprint(x.Crashes)},
		{"Cancelled at engines", fmt.Sprint(x.Cancelled)},
		{"Prefix blocks from cache", fmt.Sprintf("%d of %d", x.CacheHits, x.CacheHits+x.CacheMisses)},
		{"Reasons", fmt.Sprint(x.Reasons)},
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
	w, err := client.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = w.Body.Close() }()
	return json.NewDecoder(w.Body).Decode(v)
}
