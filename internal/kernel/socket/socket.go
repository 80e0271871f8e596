// Package socket reports what has arrived at a socket, whether the process has
// read it or not.
package socket

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Raw returns the access to the socket behind a connection or listener, or nil if
// it has none.
func Raw(v any) syscall.RawConn {
	s, ok := v.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// Readable reports whether a socket has something to read, or a listener a
// connection to accept. It is false if the socket can't be asked.
func Readable(raw syscall.RawConn) bool {
	found := false
	err := raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		found = err == nil && n > 0
	})
	return err == nil && found
}

// Unread returns the number of bytes that have arrived at a socket and were not
// read, or 0 if the socket can't be asked.
func Unread(raw syscall.RawConn) int {
	n := 0
	err := raw.Control(func(fd uintptr) {
		if got, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ); err == nil {
			n = got
		}
	})
	if err != nil {
		return 0
	}
	return n
}

// Ended reports whether the peer has closed or reset the connection and everything
// that came before has been read. It is false if the socket can't be asked.
func Ended(raw syscall.RawConn) bool {
	ended := false
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ended = err == nil && n == 0 || err == unix.ECONNRESET
	})
	return err == nil && ended
}

// Unacked returns the number of bytes that were written to a TCP socket and that
// the peer's system has not acknowledged, or 0 if the socket can't be asked.
func Unacked(raw syscall.RawConn) int {
	n := 0
	err := raw.Control(func(fd uintptr) {
		if got, err := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ); err == nil {
			n = got
		}
	})
	if err != nil {
		return 0
	}
	return n
}

// Arrivals returns how long ago the latest bytes arrived at a TCP socket, whether
// they were read or not, and how long ago the latest packet of any kind did, such
// as the end of the connection. Time in which the instance was suspended doesn't
// count. Both are 0 if the socket can't be asked.
func Arrivals(raw syscall.RawConn) (data, packet time.Duration) {
	var info *unix.TCPInfo
	err := raw.Control(func(fd uintptr) {
		if got, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			info = got
		}
	})
	if err != nil || info == nil {
		return 0, 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, time.Duration(info.Last_ack_recv) * time.Millisecond
}
