// Package footprint measures the memory that a process takes from its instance:
// its resident memory and the bytes that wait unread at its addresses.
package footprint

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// interval is the time between two samples.
const interval = 20 * time.Millisecond

// Footprint samples a process until it is stopped. Create one with Watch.
type Footprint struct {
	pid       int
	addresses map[string]bool
	stop      chan struct{}
	stopped   sync.WaitGroup

	mu sync.Mutex
	// resident and unread in bytes belong to the sample with the largest sum.
	resident, unread int64
	// err is the first error with which the unread bytes could not be read.
	err error
}

// Watch samples a process that listens on the addresses, each an IPv4 address and a
// port.
func Watch(pid int, addresses ...string) *Footprint {
	f := &Footprint{pid: pid, addresses: map[string]bool{}, stop: make(chan struct{})}
	for _, a := range addresses {
		f.addresses[a] = true
	}
	f.stopped.Go(f.run)
	return f
}

// Stop ends the sampling.
func (f *Footprint) Stop() {
	close(f.stop)
	f.stopped.Wait()
}

// Peak returns the sample with the largest sum, in bytes, or an error if the unread bytes
// of a sample are not known.
func (f *Footprint) Peak() (resident, unread int64, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.resident, f.unread, f.err
}

func (f *Footprint) run() {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f.sample()
		select {
		case <-f.stop:
			return
		case <-ticker.C:
		}
	}
}

func (f *Footprint) sample() {
	unread, unreadErr := f.unreadBytes()
	resident, err := residentBytes(f.pid)
	if err != nil {
		// The process has ended, which the test checks.
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil {
		f.err = unreadErr
	}
	if resident+unread > f.resident+f.unread {
		f.resident, f.unread = resident, unread
	}
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0, err
	}
	return resident * int64(os.Getpagesize()), nil
}

// listening is the state of a listener in /proc/net/tcp, whose queue is a number of
// connections.
const listening = "0A"

// unreadBytes returns what waits at the addresses, accepted connections or not.
func (f *Footprint) unreadBytes() (int64, error) {
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	defer func() { _ = table.Close() }()
	sum := int64(0)
	lines := bufio.NewScanner(table)
	for lines.Scan() {
		// The fields are number, local and remote address, state, and the lengths
		// of the send and receive queues.
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[3] == listening || !f.addresses[decodeAddress(fields[1])] {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(queue, 16, 64)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, lines.Err()
}

// decodeAddress returns an address of /proc/net/tcp, whose bytes are in the order of
// a little-endian machine, in the usual form. It returns "" for the table's title.
func decodeAddress(field string) string {
	ip, port, _ := strings.Cut(field, ":")
	a, err := strconv.ParseUint(ip, 16, 32)
	if err != nil {
		return ""
	}
	p, err := strconv.ParseUint(port, 16, 16)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(net.IPv4(byte(a), byte(a>>8), byte(a>>16), byte(a>>24)).String(), strconv.FormatUint(p, 10))
}
