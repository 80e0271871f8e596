package explain

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const testLogs = `  1.0 a/Entry {"time":"2026-01-01T10:00:00.0Z","level":"INFO","msg":"Connection to keeper changed","Process":"a/Entry","Keeper":"k","Lost":true}
  1.0 b/Entry {"time":"2026-01-01T10:00:00.5Z","level":"INFO","msg":"Connection to keeper changed","Process":"b/Entry","Keeper":"k","Lost":true}
not JSON
{"time":"2026-01-01T10:00:03.0Z","level":"INFO","msg":"Request was not served","Process":"a/Entry","Request":"r1","Reason":"Stale","Tried":["t1"]}
{"time":"2026-01-01T10:00:02.0Z","level":"INFO","msg":"Target changed","Process":"k/Keeper","Target":"t1","Stage":1}
{"time":"2026-01-01T10:00:01.0Z","level":"INFO","msg":"Request goes to another target","Process":"a/Entry","Request":"r1","After":"t1"}
{"time":"2026-01-01T10:00:01.5Z","level":"INFO","msg":"Request was answered","Process":"a/Entry","Request":"r2"}
`

const verdictLogs = `{"time":"2026-01-01T09:00:00.0Z","level":"INFO","msg":"Target ended before the response began","Process":"a/Entry","Request":"r1","Target":"t1","Parts":["x","bad"]}
{"time":"2026-01-01T09:00:00.1Z","level":"INFO","msg":"Target ended before the response began","Process":"b/Entry","Request":"r2","Target":"t1","Parts":["x","y"]}
{"time":"2026-01-01T09:00:02.0Z","level":"INFO","msg":"Parts of prompts or a request are shut out","Process":"k/Keeper","Parts":["bad"],"Ends":3}
{"time":"2026-01-01T10:00:02.0Z","level":"INFO","msg":"Request was not served","Process":"a/Entry","Request":"r9","Reason":"ShutOut","Verdict":["bad"],"Parts":["x","bad"]}
{"time":"2026-01-01T10:00:03.0Z","level":"INFO","msg":"Verdicts are lifted by an operator","Process":"k/Keeper","Part":"bad"}
`

const requestVerdictLogs = `{"time":"2026-01-01T09:00:00.0Z","level":"INFO","msg":"Target ended under the request","Process":"a/Entry","Request":"r1","Target":"t1","Digest":"request:1","Events":4}
{"time":"2026-01-01T09:00:00.1Z","level":"INFO","msg":"Target ended under the request","Process":"b/Entry","Request":"r2","Target":"t1","Digest":"request:2","Events":4}
{"time":"2026-01-01T09:00:01.0Z","level":"INFO","msg":"Target ended before the response began","Process":"b/Entry","Request":"r3","Target":"t1","Parts":["x"],"Digest":"request:1"}
{"time":"2026-01-01T09:00:02.0Z","level":"INFO","msg":"Parts of prompts or a request are shut out","Process":"k/Keeper","Parts":["request:1"],"Ends":3}
{"time":"2026-01-01T10:00:02.0Z","level":"INFO","msg":"Request was not served","Process":"a/Entry","Request":"r9","Reason":"ShutOut","Verdict":["request:1"],"Parts":["x"]}
`

// TestFindLinesAddsEvidenceOnRequest checks the same of a verdict on one request.
func TestFindLinesAddsEvidenceOnRequest(t *testing.T) {
	lines, err := readLines(strings.NewReader(requestVerdictLogs))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, l := range findLines(lines, "r9") {
		got = append(got, l.msg)
	}
	want := []string{
		"Target ended under the request", "Target ended before the response began", "Parts of prompts or a request are shut out", "Request was not served",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestFindLinesAddsEvidence guards against a refusal by a verdict whose reason
// lies too far back, or in another process, to be shown.
func TestFindLinesAddsEvidence(t *testing.T) {
	lines, err := readLines(strings.NewReader(verdictLogs))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, l := range findLines(lines, "r9") {
		got = append(got, l.msg)
	}
	want := []string{"Target ended before the response began", "Parts of prompts or a request are shut out", "Request was not served"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

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
		t.Error("found lines for a request that no line names")
	}
}
