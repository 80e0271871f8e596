package httpserver

import (
	"net/http"
	"time"

	"egretproxy/internal/kernel/socket"
)

// Arrived is what the system knows of a caller's connection, whether the process
// has read it or not. It is zero if the socket can't be asked.
type Arrived struct {
	// Unread is the number of bytes that were not read.
	Unread int
	// Data is how long ago the latest bytes arrived, which is after the caller
	// sent its request. Packet is how long ago anything did; once the caller has
	// closed the connection, that is its end. Both leave out suspension.
	Data, Packet time.Duration
}

// ArrivedFrom returns what has arrived from the caller of a request.
func ArrivedFrom(r *http.Request) Arrived {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok || c.raw == nil {
		return Arrived{}
	}
	a := Arrived{Unread: socket.Unread(c.raw)}
	a.Data, a.Packet = socket.Arrivals(c.raw)
	return a
}
