package config

import "egretproxy/internal/settings/configfile"

// Security names the PEM files for mutual TLS between the processes. All are
// set or none. Without them a process serves on loopback addresses only.
type Security struct {
	Authority   string
	Certificate string
	Key         string
}

func (s *Security) check() []configfile.Problem {
	var out problems
	set := s.Authority != "" || s.Certificate != "" || s.Key != ""
	out.require(!set || s.Authority != "", "Security.Authority", "is missing")
	out.require(!set || s.Certificate != "", "Security.Certificate", "is missing")
	out.require(!set || s.Key != "", "Security.Key", "is missing")
	return out
}
