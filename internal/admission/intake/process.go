package intake

import (
	"math"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// bytesFraction is the fraction of the memory for long requests. A body takes
	// twice its size while it is read.
	bytesFraction = 0.125
	// memoryPerConn is what a connection takes at most without a long request.
	memoryPerConn = 64 << 10
	// connsFraction is the fraction of the descriptors for callers' connections. The
	// rest is for files and for connections to targets and other processes.
	connsFraction = 0.75
	// runtimeFraction is the fraction of the memory that a soft limit of the Go
	// runtime is taken for.
	runtimeFraction = 0.6
	minConns        = 16
	// bufferFraction is the fraction of the memory for the receive buffers of all
	// connections, accepted or not.
	bufferFraction = 0.25
	// minBuffer holds a short request, and maxBuffer is what most systems begin with.
	minBuffer, maxBuffer = 8 << 10, 128 << 10
	// backlog is many times the connections that arrive while a process doesn't
	// run for a second.
	backlog = 512
	// listenersPerProcess is the largest number in any role.
	listenersPerProcess = 4
	// otherDescriptors are for files, listeners and connections to other processes.
	otherDescriptors = 32
	// documentFraction is the fraction of the memory for one document or call.
	documentFraction = 0.25
	// wideFraction is the fraction of the memory for the longer receive buffers of
	// long requests, WideBufferBytes each.
	wideFraction = 1.0 / 16
)

// New returns an intake for a process with memory in bytes and a number of
// descriptors. 0 means what the system reports.
func New(memory int64, descriptors int) *Intake {
	if memory <= 0 {
		memory = systemMemory()
	}
	if descriptors <= 0 {
		descriptors = systemDescriptors()
	}
	conns := max(min(int(connsFraction*float64(descriptors)), int(memory/memoryPerConn)), minConns)
	buffer := int64(bufferFraction*float64(memory)) / int64(conns+listenersPerProcess*backlog)
	return &Intake{
		Bytes: int64(bytesFraction * float64(memory)), Conns: conns,
		BufferBytes: int(min(max(buffer, minBuffer), maxBuffer)), Backlog: backlog,
		Document:    int64(documentFraction * float64(memory)),
		WideBuffers: int(wideFraction * float64(memory) / WideBufferBytes),
		Outgoing:    max(descriptors-conns-otherDescriptors, minConns),
	}
}

var (
	processMu sync.Mutex
	process   *Intake
	peers     *Intake
)

// SetProcess replaces the intake of the process. It must be called before the first
// listener is served.
func SetProcess(in *Intake) {
	processMu.Lock()
	defer processMu.Unlock()
	process, peers = in, in.forPeers()
}

// forPeers returns the room for long calls of other processes, which callers' requests
// must not take: it is as large as that for callers, and their refusals count alike.
func (in *Intake) forPeers() *Intake {
	return &Intake{Bytes: in.Bytes, Document: in.Document, OnRefuse: in.OnRefuse}
}

// Process returns the intake that all listeners of the process share.
func Process() *Intake {
	processMu.Lock()
	defer processMu.Unlock()
	setDefault()
	return process
}

// Peers returns the room of the process for long calls of other processes. Their
// connections count in Process.
func Peers() *Intake {
	processMu.Lock()
	defer processMu.Unlock()
	setDefault()
	return peers
}

// setDefault requires processMu.
func setDefault() {
	if process == nil {
		process = New(0, 0)
		peers = process.forPeers()
	}
}

// systemMemory returns the memory that the process may take: what the soft limit of
// the Go runtime stands for, the limit of its control group, or all of the instance.
func systemMemory() int64 {
	memory := int64(math.MaxInt64)
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) == nil {
		memory = int64(uint64(info.Totalram) * uint64(info.Unit))
	}
	if data, err := os.ReadFile("/sys/fs/cgroup/memory.max"); err == nil {
		if limit, err := strconv.ParseInt(strings.TrimSpace(string(data)), 10, 64); err == nil {
			memory = min(memory, limit)
		}
	}
	if soft := debug.SetMemoryLimit(-1); soft < math.MaxInt64 {
		memory = min(memory, int64(float64(soft)/runtimeFraction))
	}
	return memory
}

func systemDescriptors() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return math.MaxInt32
	}
	return int(min(limit.Cur, math.MaxInt32))
}
