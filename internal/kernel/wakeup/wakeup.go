// Package wakeup wakes all goroutines that wait for the next change of something.
package wakeup

// Signal wakes its waiters. The zero value is ready to use. It needs the lock of what it
// belongs to.
type Signal struct{ c chan struct{} }

// Next returns a channel that is closed when the signal is sent next.
func (s *Signal) Next() <-chan struct{} {
	if s.c == nil {
		s.c = make(chan struct{})
	}
	return s.c
}

// Send wakes those that wait for the signal.
func (s *Signal) Send() {
	if s.c != nil {
		close(s.c)
		s.c = nil
	}
}
