package httpserver

import (
	"net/http"
	"strconv"
	"time"
)

// announcing returns a handler whose responses tell callers how long they may
// keep the connection.
func (s *Server) announcing(h http.Handler) http.Handler {
	if h == nil {
		h = http.DefaultServeMux
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		aw := &announcingWriter{ResponseWriter: w, server: s}
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			if aw.body = c.receive(r); aw.body != nil {
				// net/http looks at the body of its own request at the end.
				counted := *r
				counted.Body = aw.body
				r = &counted
			}
		}
		h.ServeHTTP(aw, r)
		if !aw.headerWritten {
			aw.announce(http.StatusOK)
		}
	})
}

// announcingWriter sets the header fields about the connection as late as
// possible, since the server may be asked to stop while a handler runs.
type announcingWriter struct {
	http.ResponseWriter
	server        *Server
	headerWritten bool
	// body is nil for a request without one.
	body *body
}

func (w *announcingWriter) announce(status int) {
	w.headerWritten = true
	h := w.Header()
	// Without the close, net/http reads the rest of a body that is too large or was
	// refused before it responds.
	if w.server.Stopping() || status == http.StatusRequestEntityTooLarge || w.body != nil && w.body.refused != nil {
		h.Set("Connection", "close")
		return
	}
	if seconds := int(w.server.KeepAlive / time.Second); seconds > 0 {
		h.Set("Keep-Alive", "timeout="+strconv.Itoa(seconds))
	}
}

// WriteHeader implements http.ResponseWriter.
func (w *announcingWriter) WriteHeader(status int) {
	if !w.headerWritten && status >= http.StatusOK {
		w.announce(status)
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *announcingWriter) Write(p []byte) (int, error) {
	if !w.headerWritten {
		w.announce(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// FlushError implements the interface that http.ResponseController looks for.
func (w *announcingWriter) FlushError() error {
	if !w.headerWritten {
		w.announce(http.StatusOK)
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Flush implements http.Flusher.
func (w *announcingWriter) Flush() { _ = w.FlushError() }

// Unwrap returns the writer for http.ResponseController.
func (w *announcingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
