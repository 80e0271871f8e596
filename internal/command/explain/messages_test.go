package explain

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestStateChangesAreLogged guards against a reworded log message that this
// command no longer matches: each message of stateChanges and verdictLines must
// stand as a string in the code of some other package.
func TestStateChangesAreLogged(t *testing.T) {
	missing := map[string]bool{}
	for m := range stateChanges {
		missing[m] = true
	}
	for m := range verdictLines {
		missing[m] = true
	}
	for _, root := range []string{"../../../internal", "../../../platform"} {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			own := filepath.Base(filepath.Dir(path)) == "explain"
			if d.IsDir() || own || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return nil
			}
			src, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			for m := range missing {
				if strings.Contains(string(src), `"`+m+`"`) {
					delete(missing, m)
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for m := range missing {
		t.Errorf("no package logs %q", m)
	}
}
