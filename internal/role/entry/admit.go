package entry

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/httpserver"
	"egretproxy/internal/request/refusal"
)

// admittedRequest is a request whose organisation is known.
type admittedRequest struct {
	id           id.Request
	organisation id.Organisation
	limits       view.Limits
	body         []byte
}

// admit finds the organisation, reads the body and applies the organisation's
// concurrency limit and the end of a shutdown. The returned function must be called
// when the request ends; it is nil with a refusal.
func (e *Entry) admit(w http.ResponseWriter, r *http.Request) (*admittedRequest, func(), *refusal.Refusal) {
	req := &admittedRequest{id: requestID(r)}
	o, ok := e.directory.Find(r)
	if !ok {
		return req, nil, refusal.New(http.StatusUnauthorized, refusal.UnknownOrganisation, "no organisation has this key")
	}
	req.organisation = o
	body, ref := e.readBody(w, r)
	if ref != nil {
		return req, nil, ref
	}
	req.body = body
	done, ref := e.startRequest(req)
	return req, done, ref
}

func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *refusal.Refusal) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(e.cfg.Entry.ReadTimeout.Std()))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(e.cfg.Entry.MaxBody)))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	refused, isRefused := httpserver.BodyRefusal(err)
	switch {
	case err == nil:
		return body, nil
	case isRefused && refused.Status == http.StatusServiceUnavailable:
		return nil, refusal.Unavailable(refusal.NoRoom, "too many long requests arrive", time.Second)
	case isRefused:
		return nil, refusal.New(refused.Status, refusal.SlowCaller, "body came too slowly")
	case errors.As(err, &tooLarge):
		return nil, refusal.New(http.StatusRequestEntityTooLarge, refusal.BodyTooLarge, "body is too large")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, refusal.New(http.StatusRequestTimeout, refusal.SlowCaller, "body came too slowly")
	default:
		return nil, refusal.New(http.StatusBadRequest, refusal.BadRequest, "body was not read: "+err.Error())
	}
}

func (e *Entry) startRequest(req *admittedRequest) (func(), *refusal.Refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.comesTooLate() {
		return nil, refusal.Unavailable(refusal.Stopping, "the process stops", minRetryAfter)
	}
	req.limits = e.view.Policy.Organisations[req.organisation]
	if req.limits.Concurrent > 0 && e.active[req.organisation] >= req.limits.Concurrent {
		ref := refusal.Unavailable(refusal.OrganisationLimit, "the organisation has too many requests in progress", time.Second)
		ref.Status = http.StatusTooManyRequests
		return nil, ref
	}
	e.active[req.organisation]++
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.active[req.organisation]--
	}, nil
}
