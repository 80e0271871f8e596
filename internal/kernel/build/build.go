// Package build identifies the program that a process runs.
package build

import (
	"bytes"
	"debug/elf"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"

	"k8s.io/klog/v2"
)

const (
	// runningProgram is the file that the process was started from, also after it was
	// replaced.
	runningProgram = "/proc/self/exe"
	// idSection holds the linker's build id: 16 bytes of note header, then the text.
	idSection       = ".note.go.buildid"
	noteHeaderBytes = 16
	unknown         = "unknown"
)

// Info identifies a program.
type Info struct {
	// Revision is the commit of the sources, "unknown" unless the program was built in a
	// checkout with version control stamps.
	Revision string
	// Modified is set if the checkout had changes that were not committed.
	Modified bool
	// ID is a digest of the program's contents, whatever it was built from. It is
	// "unknown" if the program's file can't be read.
	ID string
	// Go is the version of the toolchain.
	Go string
}

// Read returns what identifies the running program.
func Read() Info { return readOnce() }

var readOnce = sync.OnceValue(read)

func read() Info {
	out := Info{Revision: unknown, ID: unknown, Go: unknown}
	if id, err := readID(runningProgram); err != nil {
		klog.V(1).InfoS("Build id can't be read", "Error", err.Error())
	} else if id != "" {
		out.ID = id
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return out
	}
	out.Go = info.GoVersion
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			out.Revision = s.Value
		case "vcs.modified":
			out.Modified = s.Value == strconv.FormatBool(true)
		}
	}
	return out
}

// Fields returns the fields of a log line that names the program.
func (i Info) Fields() []any {
	return []any{"Revision", i.Revision, "Modified", i.Modified, "Build", i.ID}
}

// String returns the text of a version flag.
func (i Info) String() string {
	revision := i.Revision
	if i.Modified {
		revision += " (modified)"
	}
	return "revision " + revision + ", build " + i.ID + ", " + i.Go
}

// readID returns the last part of the build id in a program, which is a digest of its
// contents, or "" if it has none.
func readID(program string) (string, error) {
	f, err := elf.Open(program)
	if err != nil {
		return "", err
	}
	defer func() { _ = f.Close() }()
	section := f.Section(idSection)
	if section == nil {
		return "", nil
	}
	note, err := section.Data()
	if err != nil {
		return "", err
	}
	if len(note) < noteHeaderBytes {
		return "", nil
	}
	id := string(bytes.TrimRight(note[noteHeaderBytes:], "\x00"))
	return id[strings.LastIndex(id, "/")+1:], nil
}
