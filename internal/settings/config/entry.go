package config

import (
	"fmt"
	"strings"
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/settings/configfile"
	"egretproxy/internal/settings/unit"
)

// Entry is the section of the entry role.
type Entry struct {
	// Listen is the address for callers.
	Listen string
	// Certificate and Key are PEM files for HTTPS towards callers. Without
	// them the entry speaks plain HTTP, as behind a balancer.
	Certificate string
	Key         string
	// OrganisationKeys is the file with the keys of the organisations.
	OrganisationKeys string
	// Routes maps paths to plain services.
	Routes []Route
	// MaxBody bounds a request body.
	MaxBody unit.Bytes
	// MaxQueue bounds the requests that wait at this entry.
	MaxQueue int
	// MaxWait bounds the time that a request waits for a target.
	MaxWait unit.Duration
	// RequestTimeout bounds the time of a whole request.
	RequestTimeout unit.Duration
	// ReadTimeout bounds the time in which a caller sends its request.
	ReadTimeout unit.Duration
	// DrainDelay is the time between the end of readiness and the end of
	// the listener at a graceful shutdown.
	DrainDelay unit.Duration
	// RetryRatio is the share of retries in all requests.
	RetryRatio float64
}

// Route sends a path to a plain service.
type Route struct {
	// Prefix is the first part of the path, such as /inventory.
	Prefix  string
	Service id.Service
	// Repeatable lists the calls that may run more than once, each a method
	// and a path below the prefix, such as "GET /ropes" or "PUT /...".
	// GET and HEAD always may. All others may not.
	Repeatable []string
}

func defaultEntry() Entry {
	return Entry{
		MaxBody:        8 << 20,
		MaxQueue:       1024,
		MaxWait:        unit.Duration(5 * time.Second),
		RequestTimeout: unit.Duration(5 * time.Minute),
		ReadTimeout:    unit.Duration(15 * time.Second),
		DrainDelay:     unit.Duration(1 * time.Second),
		RetryRatio:     0.1,
	}
}

func (e *Entry) check() []configfile.Problem {
	var out problems
	out.checkAddress("Entry.Listen", e.Listen)
	if e.Listen == "" {
		return out
	}
	out.require(e.OrganisationKeys != "", "Entry.OrganisationKeys", "is missing")
	out.require((e.Certificate == "") == (e.Key == ""), "Entry.Key", "and Certificate are set together or not at all")
	out.require(e.MaxBody > 0, "Entry.MaxBody", "is not positive")
	out.require(e.MaxQueue >= 0, "Entry.MaxQueue", "is negative")
	out.require(e.RequestTimeout > 0, "Entry.RequestTimeout", "is not positive")
	out.require(e.ReadTimeout > 0, "Entry.ReadTimeout", "is not positive")
	out.require(e.RetryRatio >= 0 && e.RetryRatio <= 0.2, "Entry.RetryRatio", "is not between 0 and 0.2")
	for i, r := range e.Routes {
		key := fmt.Sprintf("Entry.Routes[%d]", i)
		out.require(strings.HasPrefix(r.Prefix, "/") && len(r.Prefix) > 1, key+".Prefix", "is no path such as /inventory")
		out.require(!strings.HasPrefix(r.Prefix, "/v1"), key+".Prefix", "collides with the model interface below /v1")
		out.require(r.Service != "", key+".Service", "is missing")
		for j, c := range r.Repeatable {
			out.require(len(strings.Fields(c)) == 2, fmt.Sprintf("%s.Repeatable[%d]", key, j), "is no method and path such as \"GET /ropes\"")
		}
	}
	return out
}
