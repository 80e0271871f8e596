package config

import (
	"slices"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/settings/configfile"
)

// Process is the section that every role reads.
type Process struct {
	// Name is unique among the processes of one role.
	Name   string
	Domain id.Domain
	Region id.Region
	// LogLevel is Error, Warning, Info or Debug.
	LogLevel string
	// AdminListen serves health, readiness and metrics.
	AdminListen string
}

var logLevels = []string{"Error", "Warning", "Info", "Debug"}

func defaultProcess() Process {
	return Process{LogLevel: "Info"}
}

func (p *Process) check() []configfile.Problem {
	var out problems
	out.require(p.Name != "", "Process.Name", "is missing")
	out.require(p.Domain != "", "Process.Domain", "is missing")
	out.require(p.Region != "", "Process.Region", "is missing")
	out.require(slices.Contains(logLevels, p.LogLevel), "Process.LogLevel", "is none of Error, Warning, Info, Debug")
	out.checkAddress("Process.AdminListen", p.AdminListen)
	return out
}
