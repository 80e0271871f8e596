package crowd

import (
	"bufio"
	"fmt"
	"os"
	"strings"
)

// PeakBytes returns the largest resident memory of a process so far.
func PeakBytes(pid int) (int64, error) {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	defer func() { _ = f.Close() }()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if text, ok := strings.CutPrefix(lines.Text(), "VmHWM:"); ok {
			var kilobytes int64
			_, err := fmt.Sscan(text, &kilobytes)
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("process %d reports no memory", pid)
}

// Descriptors returns the number of open descriptors of a process.
func Descriptors(pid int) (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries), err
}
