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

// SetReceiveBuffer bounds the bytes that wait to be read from a TCP connection, or from each
// of those that arrive at a listener. The system rounds it up to a few kilobytes. It must
// not be lowered for an open connection, whose peer may stop for seconds then.
func SetReceiveBuffer(raw syscall.RawConn, bytes int) error {
	return control(raw, func(fd int) error {
		// The system doubles the value, to have room for its own data.
		return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, bytes/2)
	})
}

// RaiseReceiveBuffer raises the bound of an open TCP connection.
func RaiseReceiveBuffer(raw syscall.RawConn, bytes int) error {
	if err := SetReceiveBuffer(raw, bytes); err != nil {
		return err
	}
	// The window stays within the buffer that the connection began with otherwise.
	return control(raw, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, bytes/2)
	})
}

// SetBacklog bounds the connections that wait at a listener to be accepted.
func SetBacklog(raw syscall.RawConn, length int) error {
	return control(raw, func(fd int) error { return unix.Listen(fd, length) })
}

func control(raw syscall.RawConn, f func(fd int) error) error {
	var inner error
	if err := raw.Control(func(fd uintptr) { inner = f(int(fd)) }); err != nil {
		return err
	}
	return inner
}

// ended are the events of a socket whose peer has closed or reset the connection,
// whether bytes that came before have been read or not.
const ended = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// Ended reports whether the peer has closed or reset the connection, or it has
// failed. An end behind unread bytes is seen only if the system reports it. It is
// false if the socket can't be asked.
func Ended(raw syscall.RawConn) bool {
	found := false
	err := raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		if err == nil && n > 0 && fds[0].Revents&ended != 0 {
			found = true
			return
		}
		if err == nil && n == 0 {
			return
		}
		found = endedByRead(int(fd))
	})
	return err == nil && found
}

// endedByRead reports what a read would return without taking it: the end of the
// connection, or an error that lasts.
func endedByRead(fd int) bool {
	var b [1]byte
	n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	if err == unix.EAGAIN || err == unix.EINTR {
		return false
	}
	return err != nil || n == 0
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
