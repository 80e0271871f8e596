package config_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"egretproxy/internal/settings/config"
)

const validSettings = `{
  // The process behind the balancer.
  "Process": {"Name": "entry-0", "Domain": "andes-norte", "Region": "andes"},
  "Keepers": {"Addresses": ["10.0.0.1:7000"]},
  "Entry": {"Listen": "10.0.0.2:8000", "OrganisationKeys": "keys.json"},
}`

func load(t *testing.T, text string) error {
	t.Helper()
	name := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := config.Load(name)
	return err
}

func TestLoadAcceptsValidSettings(t *testing.T) {
	if err := load(t, validSettings); err != nil {
		t.Fatal(err)
	}
}

// TestLoadReportsLineKeyAndReason expects the line, the key and the reason of
// each mistake.
func TestLoadReportsLineKeyAndReason(t *testing.T) {
	cases := []struct{ name, from, to, want string }{
		{"unknown key", `"Listen"`, `"Lisen"`, "settings.json:5: Entry.Lisen: unknown key"},
		{"duplicate key", `"Region": "andes"`, `"Region": "a", "Region": "b"`, "settings.json:3: Process.Region: duplicate key"},
		{"wrong unit", `"Listen": "10.0.0.2:8000"`, `"Listen": "10.0.0.2:8000", "MaxWait": "5 apples"`, "settings.json:5: Entry.MaxWait: \"5 apples\" is not a duration"},
		{"no unit", `"Listen": "10.0.0.2:8000"`, `"Listen": "10.0.0.2:8000", "MaxBody": "100"`, "settings.json:5: Entry.MaxBody: \"100\" is not a size"},
		{"out of range", `"Listen": "10.0.0.2:8000"`, `"Listen": "10.0.0.2:8000", "RetryRatio": 3`, "settings.json:5: Entry.RetryRatio: is not between 0 and 0.2"},
		{"host name", `10.0.0.1:7000`, `keeper.example:7000`, "settings.json:4: Keepers.Addresses[0]: \"keeper.example:7000\" is not an IP address"},
		{"wrong type", `"entry-0"`, `7`, "settings.json:3: Process.Name: is a number, not a string"},
		{"missing", `"Domain": "andes-norte", `, ``, "settings.json:3: Process.Domain: is missing"},
		{"syntax", `"Keepers":`, `"Keepers"`, "settings.json:4"},
	}
	for _, c := range cases {
		err := load(t, strings.Replace(validSettings, c.from, c.to, 1))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %s", c.name, err, c.want)
		}
	}
	if _, err := config.Load(filepath.Join(t.TempDir(), "none.json")); err == nil {
		t.Error("a missing file was accepted")
	}
}

// TestExampleSettingsAreValid loads every settings file below examples.
func TestExampleSettingsAreValid(t *testing.T) {
	names, err := filepath.Glob("../../../examples/*/*.json")
	if err != nil || len(names) == 0 {
		t.Fatalf("no examples: %v", err)
	}
	names = append(names, "../../../examples/default.json")
	for _, name := range names {
		base := filepath.Base(name)
		if base == "policy.json" || base == "keys.json" {
			continue
		}
		if _, err := config.Load(name); err != nil {
			t.Error(err)
		}
	}
}
