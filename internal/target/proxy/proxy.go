// Package proxy is the agent's reverse proxy to its target. It forwards
// admitted requests and detects responses that are truncated, belong to another
// request or mix versions.
package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/httpserver"
	"egretproxy/internal/kernel/metrics"
	"egretproxy/internal/request/refusal"
	"egretproxy/internal/target/gate"
	"egretproxy/internal/target/ramp"
	"egretproxy/internal/target/stream"
	"egretproxy/internal/wire/bodylimit"
	"egretproxy/internal/wire/forward"
	"egretproxy/internal/wire/header"
)

const (
	// maxBodyBytes bounds a request body.
	maxBodyBytes = 64 << 20
	// maxBufferedBytes bounds a response that is buffered until it is complete.
	// The rest of a longer one is streamed.
	maxBufferedBytes      = 8 << 20
	readBufferBytes       = 32 << 10
	unreachableRetryAfter = 1 * time.Second
	// dialTimeout limits the connection that shows whether the target has ended.
	dialTimeout     = time.Second
	eventStreamType = "text/event-stream"
)

// Proxy is the HTTP handler for the requests of entries to one target.
type Proxy struct {
	Target  id.Target
	BaseURL *url.URL
	Kind    view.TargetKind
	Gate    *gate.Gate
	Ramp    *ramp.Ramp
	Metrics *metrics.Set
	// Client reuses connections. SingleUseClient opens a new one for each
	// request that may run at most once, since net/http may resend a request
	// on a reused connection.
	Client          *http.Client
	SingleUseClient *http.Client
	// OnCold is called when response times show that the target turned cold.
	OnCold func()
	// OnFailure is called when the target fails a request.
	OnFailure func()

	// buffers limits the memory of the responses that are buffered at a time.
	buffers bodylimit.Budget
}

// exchange is one request in progress.
type exchange struct {
	*Proxy
	w       http.ResponseWriter
	r       *http.Request
	request id.Request
	permit  *gate.Permit
	once    bool
	// targetRequest is the request to the target.
	targetRequest *forward.Outgoing
	sentAt        time.Time
	// lastPartAt is the time of the last part of a stream, or zero.
	lastPartAt time.Time
}

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{
		Proxy: p, w: w, r: r,
		request: id.Request(r.Header.Get(header.RequestID)),
		once:    r.Header.Get(header.Once) != "",
	}
	w.Header().Set(header.Target, string(p.Target))
	w.Header().Set(header.RequestID, string(x.request))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if refused, ok := httpserver.BodyRefusal(err); ok {
		x.refuse(refusal.Unavailable(refusal.NoRoom, refused.Reason, time.Second))
		return
	}
	if err != nil {
		x.refuse(refusal.New(http.StatusBadRequest, refusal.BadRequest, "body was not read: "+err.Error()))
		return
	}
	permit, ref := p.Gate.Admit(gate.Request{
		Attempt: id.Request(r.Header.Get(header.Attempt)),
		Model:   id.Model(r.Header.Get(header.Model)),
		Bundle:  id.Bundle(r.Header.Get(header.PinBundle)),
	})
	if ref != nil {
		x.refuse(ref)
		return
	}
	defer permit.Release()
	x.permit = permit
	x.forward(body)
}

func (x *exchange) refuse(r *refusal.Refusal) {
	x.Metrics.CountReason("Refusal", string(r.Reason))
	x.setLoadHeader()
	r.Write(x.w, x.request)
}

func (x *exchange) setLoadHeader() {
	x.w.Header().Set(header.Load, strconv.Itoa(x.Gate.InFlight())+"/"+strconv.Itoa(x.Ramp.Limit()))
}

func (x *exchange) forward(body []byte) {
	out, err := x.newTargetRequest(body)
	x.targetRequest = out
	if err != nil {
		x.refuse(refusal.New(http.StatusBadRequest, refusal.BadRequest, err.Error()))
		return
	}
	client := x.Client
	if x.once {
		client = x.SingleUseClient
	}
	x.sentAt = time.Now()
	response, err := client.Do(out.Request)
	if err != nil {
		x.refuseFailure(err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if ref := x.checkResponse(response); ref != nil {
		x.refuse(ref)
		return
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), eventStreamType) {
		x.relayStream(response)
		return
	}
	x.relayBuffered(response)
}

// newTargetRequest returns the request to forward to the target.
func (x *exchange) newTargetRequest(body []byte) (*forward.Outgoing, error) {
	path := strings.TrimPrefix(x.r.URL.EscapedPath(), header.DispatchPath)
	u, err := x.BaseURL.Parse(path)
	if err != nil {
		return nil, errors.Wrap(err, "target path")
	}
	out, err := forward.New(x.r.Context(), x.r, u, body, x.once)
	if err != nil {
		return nil, err
	}
	out.Request.Header.Set(header.EnginePriority, x.r.Header.Get(header.Priority))
	if n := x.r.Header.Get(header.ResumeTokens); n != "" {
		out.Request.Header.Set(header.EngineResume, n)
	}
	return out, nil
}

// refuseFailure refuses a request to which the target gave no response, and
// aborts it if the entry has cancelled. The outcome is unknown if a connection
// was open.
func (x *exchange) refuseFailure(err error) {
	if x.r.Context().Err() != nil {
		x.Metrics.Count("CallerGone")
		panic(http.ErrAbortHandler)
	}
	x.OnFailure()
	if !x.targetRequest.Connected() {
		x.refuse(refusal.Unavailable(refusal.TargetUnreachable, "target can't be reached", unreachableRetryAfter))
		return
	}
	x.refuse(refusal.UnknownOutcome(refusal.TargetFailed, "target gave no answer: "+err.Error()))
}

// checkResponse returns a refusal if the response belongs to another request
// or comes from another version.
func (x *exchange) checkResponse(response *http.Response) *refusal.Refusal {
	if requestID := response.Header.Get(header.RequestID); requestID != "" && requestID != string(x.request) {
		return refusal.UnknownOutcome(refusal.AnswerCrossed, "target answered another request")
	}
	version := response.Header.Get(header.EngineVersion)
	if x.Kind == view.TargetEngine && version != "" && version != string(x.permit.Installed.Bundle) {
		return refusal.UnknownOutcome(refusal.VersionChanged, "target answered from version "+version)
	}
	return nil
}

func (x *exchange) setHeaders(response *http.Response) {
	h := x.w.Header()
	for k, v := range response.Header {
		if forward.HopByHop(k) || k == header.RequestID || strings.HasPrefix(k, header.ReservedPrefix) {
			continue
		}
		h[k] = v
	}
	if x.Kind == view.TargetEngine {
		h.Set(header.Bundle, string(x.permit.Installed.Bundle))
	}
	x.setLoadHeader()
}

// relayBuffered buffers a response until it is complete, or exceeds maxBufferedBytes or
// the room for it, and then forwards it.
func (x *exchange) relayBuffered(response *http.Response) {
	body, whole, release, err := x.buffers.ReadStart(response.Body, maxBufferedBytes)
	defer release()
	if err == nil && whole && x.endedWithTarget(response) {
		err = errTargetEnded
	}
	if err != nil {
		x.refuseFailure(err)
		return
	}
	if x.Kind == view.TargetEngine {
		if err := stream.CheckVersion(body, string(x.permit.Installed.Bundle)); err != nil {
			x.refuse(refusal.UnknownOutcome(refusal.VersionChanged, err.Error()))
			return
		}
	}
	x.recordResult(response.StatusCode)
	x.setHeaders(response)
	if whole {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.w.WriteHeader(response.StatusCode)
	if _, err := x.w.Write(body); err != nil {
		return
	}
	if whole {
		return
	}
	if _, err := io.Copy(x.w, response.Body); err != nil || x.endedWithTarget(response) {
		panic(http.ErrAbortHandler)
	}
}

// errTargetEnded means that a response without a length ended with its target.
var errTargetEnded = errors.Wrap(io.ErrUnexpectedEOF, "target ended")

// endedWithTarget reports whether the end of a response may be that of its target:
// the response has neither a length nor chunks, and nothing accepts connections at
// the target any more.
func (x *exchange) endedWithTarget(response *http.Response) bool {
	if response.ContentLength >= 0 || len(response.TransferEncoding) > 0 {
		return false
	}
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(x.r.Context(), "tcp", x.BaseURL.Host)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	}
	_ = c.Close()
	return false
}

// recordResult reports the end of a response to OnFailure or to the ramp.
func (x *exchange) recordResult(status int) {
	if status >= http.StatusInternalServerError {
		x.OnFailure()
		return
	}
	x.Ramp.RecordCompletion()
}

// relayStream forwards a stream of events. Unless the stream is complete, it
// aborts the connection, so that the entry detects the truncation.
func (x *exchange) relayStream(response *http.Response) {
	inspector := &stream.Inspector{Version: string(x.permit.Installed.Bundle)}
	buffer := make([]byte, readBufferBytes)
	started := false
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			started = x.relayPart(response, inspector, buffer[:n], started)
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			x.abortStream(started, err)
			return
		}
	}
	if !inspector.Complete() {
		x.abortStream(started, io.ErrUnexpectedEOF)
		return
	}
	x.recordResult(response.StatusCode)
}

func (x *exchange) relayPart(response *http.Response, i *stream.Inspector, part []byte, started bool) bool {
	events, err := i.Inspect(part)
	if err != nil {
		x.Metrics.CountReason("StreamBroken", string(refusal.VersionChanged))
		x.OnFailure()
		panic(http.ErrAbortHandler)
	}
	if len(events) == 0 {
		return started
	}
	if !started {
		if x.Ramp.RecordFirstToken(time.Since(x.sentAt)) {
			x.OnCold()
		}
		x.setHeaders(response)
		x.w.WriteHeader(response.StatusCode)
	}
	x.recordGap()
	if _, err := x.w.Write(events); err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = http.NewResponseController(x.w).Flush()
	return true
}

// recordGap reports the time since the previous part to the ramp.
func (x *exchange) recordGap() {
	now := time.Now()
	if !x.lastPartAt.IsZero() && x.Ramp.RecordGap(now.Sub(x.lastPartAt)) {
		x.OnCold()
	}
	x.lastPartAt = now
}

// abortStream ends a stream that is incomplete. It refuses the request if no
// part was forwarded yet, and else aborts the connection to the entry.
func (x *exchange) abortStream(started bool, err error) {
	if !started {
		x.refuseFailure(err)
		return
	}
	if !errors.Is(err, context.Canceled) {
		x.OnFailure()
	}
	x.Metrics.Count("StreamBroken")
	panic(http.ErrAbortHandler)
}
