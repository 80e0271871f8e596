// Package liveness makes TCP connections notice a peer that has gone silent,
// such as one without power or behind a partition.
package liveness

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// UserTimeout is how long sent bytes may stay unacknowledged. It is well
	// above a retransmission on a lossy link and below the leases.
	UserTimeout = 1500 * time.Millisecond
	// probeIdle and probeInterval find a silent peer on an idle connection.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

var keepAlive = net.KeepAliveConfig{
	Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
}

// Dialer returns a dialer whose connections notice silent peers.
func Dialer() *net.Dialer {
	return &net.Dialer{KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

// ListenConfig returns a configuration for listeners whose connections
// notice silent peers.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
