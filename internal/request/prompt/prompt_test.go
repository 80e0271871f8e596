package prompt

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"egretproxy/internal/fleet/id"
)

func TestSharedParts(t *testing.T) {
	for list, want := range map[string][]id.PromptPart{
		"":                                 nil,
		"5c1e:800":                         nil,
		"5c1e07a2:800,91BD:410,e4402b7d:2": {"5c1e07a2", "91bd"},
		" 0a:1 , a:2 ,000:3, b:4":          {"a", "000"},
		"a,,b:1,a:2,c:3":                   {"a", "b"},
		strings.Repeat("f", 33) + ":1,b:2": {"sha256:8b8da98c16669d067b5e66e3"},
	} {
		got := SharedParts(list)
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%q: %s", list, diff)
		}
	}
}

// TestIDsSurviveMessages guards against an ID that changes in a message between
// processes, so that a verdict on it matches nothing.
func TestIDsSurviveMessages(t *testing.T) {
	for _, name := range []string{"\xff\xfe", "a\x00b", "ü", "a b", "\"", "<&>", "\u2028"} {
		for _, p := range SharedParts(name + ":1,own:2") {
			data, err := json.Marshal(p)
			if err != nil {
				t.Fatal(err)
			}
			var back id.PromptPart
			if err := json.Unmarshal(data, &back); err != nil || back != p {
				t.Errorf("%q becomes %q, error %v", p, back, err)
			}
		}
	}
}

// TestNumberOfPartsIsBounded guards against a caller that names parts without
// end.
func TestNumberOfPartsIsBounded(t *testing.T) {
	var list strings.Builder
	for i := range 10 * maxParts {
		fmt.Fprintf(&list, "%x:1,", i+1)
	}
	got := SharedParts(list.String() + "ffff:1")
	if len(got) != maxParts || got[maxParts-1] != furtherParts {
		t.Errorf("%d parts, the last is %q", len(got), got[len(got)-1])
	}
}
