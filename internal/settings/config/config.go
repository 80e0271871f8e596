// Package config holds the settings of a process, one file for each section
// beside its defaults and checks.
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

// Default returns the settings that hold where a file says nothing.
func Default() Config {
	return Config{
		Process: defaultProcess(),
		Keeper:  defaultKeeper(),
		Agent:   defaultAgent(),
		Entry:   defaultEntry(),
	}
}

// Load reads and checks a settings file.
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

// problems collects what a section refuses.
type problems []configfile.Problem

func (p *problems) require(ok bool, key, reason string) {
	if !ok {
		*p = append(*p, configfile.Problem{Key: key, Reason: reason})
	}
}

// checkAddress refuses anything but an IP checkAddress with a port. Empty is allowed.
func (p *problems) checkAddress(key, value string) {
	if value == "" {
		return
	}
	_, err := netip.ParseAddrPort(value)
	p.require(err == nil, key, "\""+value+"\" is no IP address with a port such as \"10.0.0.1:7000\"")
}
