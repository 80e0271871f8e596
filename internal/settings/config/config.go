// Package config defines the settings of a process. Each section has its own
// file with its defaults and checks.
package config

import (
	"net/netip"

	"egretproxy/internal/settings/configfile"
)

// Config is the settings of one process. A role reads its own section and
// the common ones.
type Config struct {
	Process  Process
	Security Security
	Keepers  Keepers
	Keeper   Keeper
	Agent    Agent
	Entry    Entry
}

// Default returns the settings that apply to keys that a file omits.
func Default() Config {
	return Config{
		Process: defaultProcess(),
		Keeper:  defaultKeeper(),
		Agent:   defaultAgent(),
		Entry:   defaultEntry(),
	}
}

// Load decodes and validates a settings file. The error is a *configfile.Error.
func Load(name string) (Config, error) {
	c := Default()
	err := configfile.Load(name, &c)
	return c, err
}

// Check implements configfile.Checker.
func (c *Config) Check() []configfile.Problem {
	var out []configfile.Problem
	out = append(out, c.Process.check()...)
	out = append(out, c.Security.check()...)
	out = append(out, c.Keepers.check()...)
	out = append(out, c.Keeper.check()...)
	out = append(out, c.Agent.check()...)
	out = append(out, c.Entry.check()...)
	return out
}

// problems collects the problems of a section.
type problems []configfile.Problem

func (p *problems) require(ok bool, key, reason string) {
	if !ok {
		*p = append(*p, configfile.Problem{Key: key, Reason: reason})
	}
}

// checkAddress requires an IP address with a port, or an empty value.
func (p *problems) checkAddress(key, value string) {
	if value == "" {
		return
	}
	_, err := netip.ParseAddrPort(value)
	p.require(err == nil, key, "\""+value+"\" is not an IP address with a port such as \"10.0.0.1:7000\"")
}
