package entry

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/request/refusal"
)

// admittedRequest is one admitted request of an organisation.
type admittedRequest struct {
	id           id.Request
	organisation id.Organisation
	limits       view.Limits
	body         []byte
}

// admit finds the organisation, holds it to its limit and reads the body. The
// returned function ends the request.
func (e *Entry) admit(w http.ResponseWriter, r *http.Request) (*admittedRequest, func(), *refusal.Refusal) {
	c := &admittedRequest{id: requestID(r)}
	o, ok := e.directory.Find(r)
	if !ok {
		return c, nil, refusal.New(http.StatusUnauthorized, refusal.UnknownOrganisation, "no organisation has this key")
	}
	c.organisation = o
	body, ref := e.readBody(w, r)
	if ref != nil {
		return c, nil, ref
	}
	c.body = body
	done, ref := e.startRequest(c)
	return c, done, ref
}

func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *refusal.Refusal) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(e.cfg.Entry.ReadTimeout.Std()))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(e.cfg.Entry.MaxBody)))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		return nil, refusal.New(http.StatusRequestEntityTooLarge, refusal.BodyTooLarge, "body is too large")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, refusal.New(http.StatusRequestTimeout, refusal.SlowCaller, "body came too slowly")
	default:
		return nil, refusal.New(http.StatusBadRequest, refusal.BadRequest, "body was not read: "+err.Error())
	}
}

func (e *Entry) startRequest(c *admittedRequest) (func(), *refusal.Refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c.limits = e.view.Policy.Organisations[c.organisation]
	if c.limits.Concurrent > 0 && e.active[c.organisation] >= c.limits.Concurrent {
		ref := refusal.Unavailable(refusal.OrganisationLimit, "the organisation has too many requests in progress", time.Second)
		ref.Status = http.StatusTooManyRequests
		return nil, ref
	}
	e.active[c.organisation]++
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.active[c.organisation]--
	}, nil
}
