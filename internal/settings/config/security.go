package config

import "egretproxy/internal/settings/file"

// Security names the PEM files for mutual TLS between the processes. All are
// set or none. Without them a process serves on loopback addresses only.
type Security struct {
	Authority   string
	Certificate string
	Key         string
}

func (s *Security) check() []file.Problem {
	var out problems
	set := s.Authority != "" || s.Certificate != "" || s.Key != ""
	out.add(!set || s.Authority != "", "Security.Authority", "is missing")
	out.add(!set || s.Certificate != "", "Security.Certificate", "is missing")
	out.add(!set || s.Key != "", "Security.Key", "is missing")
	return out
}
