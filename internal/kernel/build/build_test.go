package build

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// compile builds a program without version control stamps and returns its path.
func compile(t *testing.T, text string) string {
	t.Helper()
	dir := t.TempDir()
	for name, content := range map[string]string{"go.mod": "module m\n\ngo 1.26\n", "main.go": text} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	cmd := exec.Command("go", "build", "-buildvcs=false", "-trimpath", "-o", "program", ".")
	cmd.Dir = dir
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return filepath.Join(dir, "program")
}

// TestIDTellsProgramsApart guards against logs that don't tell which of two builds ran,
// whose sources are no checkout.
func TestIDTellsProgramsApart(t *testing.T) {
	const one, other = "package main\n\nfunc main() { println(1) }\n", "package main\n\nfunc main() { println(2) }\n"
	var ids []string
	for _, text := range []string{one, one, other} {
		id, err := readID(compile(t, text))
		if err != nil || id == "" {
			t.Fatalf("id %q, error %v", id, err)
		}
		ids = append(ids, id)
	}
	if ids[0] != ids[1] {
		t.Errorf("ids %q and %q of one program", ids[0], ids[1])
	}
	if ids[0] == ids[2] {
		t.Errorf("id %q of two programs", ids[0])
	}
}

// TestRunningProgramHasID guards against a start line that names no build.
func TestRunningProgramHasID(t *testing.T) {
	got := Read()
	if got.ID == unknown || got.Go == unknown {
		t.Errorf("got %+v", got)
	}
	if text := got.String(); !strings.Contains(text, "build "+got.ID) {
		t.Errorf("text %q", text)
	}
}
