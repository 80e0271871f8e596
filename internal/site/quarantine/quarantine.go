// Package quarantine holds the verdicts on parts of prompts, and on single requests,
// that end engines. The keepers agree on them, and entries refuse the requests that
// they match.
package quarantine

import (
	"slices"
	"strings"
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/request/digest"
)

// testIntervals is the time from a verdict to its first test, and between
// tests. The last one repeats. A test of a guilty part costs an engine, so tests
// become rare while the part keeps ending engines.
var testIntervals = [...]time.Duration{2 * time.Second, 10 * time.Second, time.Minute, time.Hour}

// requestTestIntervals are those for a verdict on one request. Such a request is not
// missed, and may cost three engines once it is known, so that it gets two tests in
// the first day.
var requestTestIntervals = [...]time.Duration{time.Minute, 10 * time.Minute, RequestLifetime}

// RequestLifetime is how long after its last change a verdict on one request may be
// dropped.
const RequestLifetime = 24 * time.Hour

// Verdict shuts out the requests whose prompts have all of its parts. There is
// more than one part only if they came together each time, so that nothing tells
// which of them ends engines. Requests that have only some of them go on, and
// show it. A verdict on one request has its digest as the only part.
type Verdict struct {
	// Parts is sorted and not empty.
	Parts []id.PromptPart
	// Ends is the number of engines that had ended with the parts.
	Ends int
	// Tests counts the requests that were sent in spite of the verdict, to see
	// whether it still holds.
	Tests int
	// Holder identifies the process and the request that took the last test.
	Holder string
	// ChangedMs is the wall clock time of the verdict or of its last test, in
	// Unix milliseconds.
	ChangedMs int64
}

// Key returns a text that is the same only for verdicts on the same parts.
func (v *Verdict) Key() string {
	var b strings.Builder
	for _, p := range v.Parts {
		b.WriteString(string(p))
		b.WriteByte(' ')
	}
	return b.String()
}

// Matches reports whether the verdict shuts out a request with the parts.
func (v *Verdict) Matches(parts []id.PromptPart) bool {
	if len(parts) < len(v.Parts) {
		return false
	}
	for _, p := range v.Parts {
		if !slices.Contains(parts, p) {
			return false
		}
	}
	return true
}

// OnRequest reports whether the verdict is on one request.
func (v *Verdict) OnRequest() bool { return len(v.Parts) == 1 && digest.IsDigest(v.Parts[0]) }

// Without returns the verdict without a part that was found to be harmless.
func (v *Verdict) Without(p id.PromptPart) Verdict {
	out := *v
	out.Parts = slices.DeleteFunc(slices.Clone(v.Parts), func(q id.PromptPart) bool { return q == p })
	return out
}

// TestInterval returns how long after ChangedMs the next test is due.
func (v *Verdict) TestInterval() time.Duration {
	if v.OnRequest() {
		return requestTestIntervals[min(v.Tests, len(requestTestIntervals)-1)]
	}
	return testIntervals[min(v.Tests, len(testIntervals)-1)]
}

// Parts returns all parts of the verdicts.
func Parts(verdicts []Verdict) map[id.PromptPart]bool {
	out := map[id.PromptPart]bool{}
	for _, v := range verdicts {
		for _, p := range v.Parts {
			out[p] = true
		}
	}
	return out
}

// Index returns the position of the verdict with the key, or -1.
func Index(verdicts []Verdict, key string) int {
	return slices.IndexFunc(verdicts, func(v Verdict) bool { return v.Key() == key })
}
