package explain

import (
	"bytes"
	"strings"
	"testing"
)

const testLogs = `  1.0 a/Entry {"time":"2026-01-01T10:00:00.0Z","level":"INFO","msg":"Connection to keeper changed","Process":"a/Entry","Keeper":"k","Lost":true}
  1.0 b/Entry {"time":"2026-01-01T10:00:00.5Z","level":"INFO","msg":"Connection to keeper changed","Process":"b/Entry","Keeper":"k","Lost":true}
not JSON
{"time":"2026-01-01T10:00:03.0Z","level":"INFO","msg":"Request was not served","Process":"a/Entry","Request":"r1","Reason":"Stale","Tried":["t1"]}
{"time":"2026-01-01T10:00:02.0Z","level":"INFO","msg":"Target changed","Process":"k/Keeper","Target":"t1","Stage":1}
{"time":"2026-01-01T10:00:01.0Z","level":"INFO","msg":"Request goes to another target","Process":"a/Entry","Request":"r1","After":"t1"}
{"time":"2026-01-01T10:00:01.5Z","level":"INFO","msg":"Request was answered","Process":"a/Entry","Request":"r2"}
`

func TestFindLinesAddsStateChanges(t *testing.T) {
	lines, err := readLines(strings.NewReader(testLogs))
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := writeLines(&b, findLines(lines, "r1"), false); err != nil {
		t.Fatal(err)
	}
	got := strings.Split(strings.TrimSpace(b.String()), "\n")
	want := []string{"Connection to keeper changed", "Request goes to another target", "Target changed", "Request was not served"}
	if len(got) != len(want) {
		t.Fatalf("lines:\n%s", b.String())
	}
	for i := range want {
		if !strings.Contains(got[i], want[i]) {
			t.Errorf("line %d is %q, want %q", i, got[i], want[i])
		}
	}
	if findLines(lines, "r9") != nil {
		t.Error("a request that no line names was found")
	}
}
