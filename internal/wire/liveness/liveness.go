// Package liveness sets TCP options that close connections whose peer no longer
// answers, for example after a power failure or a network partition.
package liveness

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// UserTimeout is the time that sent bytes may stay unacknowledged before
	// the connection is closed (TCP_USER_TIMEOUT). It is well above the
	// retransmission time of a lossy link and below the duration of leases.
	UserTimeout = 1500 * time.Millisecond
	// probeIdle, probeInterval and probeCount are the keep-alive parameters,
	// which apply to idle connections.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

var keepAlive = net.KeepAliveConfig{
	Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
}

// Dialer returns a dialer whose connections have the options set.
func Dialer() *net.Dialer {
	return &net.Dialer{KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

// ListenConfig returns a configuration for listeners whose connections have the
// options set.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
