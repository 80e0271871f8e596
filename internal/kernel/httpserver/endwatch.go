package httpserver

import (
	"net/http"
	"time"

	"egretproxy/internal/kernel/socket"
)

// endInterval is the interval between questions whether a caller has left that has
// sent more than the request in progress.
const endInterval = 100 * time.Millisecond

// watchEnd begins to look for the caller's end while a request is handled. net/http
// reads one byte meanwhile, to learn of the end, and stops at the first that comes:
// the context of the request would not end with the connection.
func (c *conn) watchEnd() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.raw == nil || c.leave == nil || c.watched || c.state != http.StateActive {
		return
	}
	c.watched = true
	time.AfterFunc(endInterval, c.checkEnd)
}

// checkEnd ends the contexts of the connection's requests if the caller has left,
// and looks again while a request is handled.
func (c *conn) checkEnd() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watched = c.state == http.StateActive && !c.closed
	switch {
	case !c.watched:
	case socket.Ended(c.raw):
		c.leave()
	default:
		time.AfterFunc(endInterval, c.checkEnd)
	}
}
