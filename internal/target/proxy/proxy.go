// Package proxy passes admitted requests on to the target and its answers
// back, whole and from one version.
package proxy

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/metrics"
	"egretproxy/internal/request/refusal"
	"egretproxy/internal/target/gate"
	"egretproxy/internal/target/ramp"
	"egretproxy/internal/target/stream"
	"egretproxy/internal/wire/header"
	"egretproxy/internal/wire/passage"
)

const (
	// maxBodyBytes bounds a request's body.
	maxBodyBytes = 64 << 20
	// maxBufferedBytes bounds an answer that is held until it is whole. Longer
	// ones are passed on as they come.
	maxBufferedBytes      = 8 << 20
	readBufferBytes       = 32 << 10
	unreachableRetryAfter = 1 * time.Second
	eventStreamType       = "text/event-stream"
)

// Proxy is the way through the agent to its target.
type Proxy struct {
	Target  id.Target
	BaseURL *url.URL
	Kind    view.TargetKind
	Gate    *gate.Gate
	Ramp    *ramp.Ramp
	Metrics *metrics.Set
	// Client keeps connections, and Once opens a new one for each request
	// that may not be repeated.
	Client          *http.Client
	SingleUseClient *http.Client
	// OnCold is called when an answer shows that the target turned cold.
	OnCold func()
	// OnFailure is called when the target fails a request.
	OnFailure func()
}

// exchange is one request on its way.
type exchange struct {
	*Proxy
	w       http.ResponseWriter
	r       *http.Request
	request id.Request
	permit  *gate.Permit
	once    bool
	// targetRequest is the request to the target.
	targetRequest *passage.Passage
	sentAt        time.Time
	// lastPartAt is the time of the newest part of a stream.
	lastPartAt time.Time
}

// ServeHTTP takes in one request from an entry.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{
		Proxy: p, w: w, r: r,
		request: id.Request(r.Header.Get(header.RequestID)),
		once:    r.Header.Get(header.Once) != "",
	}
	w.Header().Set(header.Target, string(p.Target))
	w.Header().Set(header.RequestID, string(x.request))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		x.refuse(refusal.New(http.StatusBadRequest, refusal.BadRequest, "body was not read: "+err.Error()))
		return
	}
	ticket, ref := p.Gate.Admit(gate.Request{
		Attempt: id.Request(r.Header.Get(header.Attempt)),
		Model:   id.Model(r.Header.Get(header.Model)),
		Bundle:  id.Bundle(r.Header.Get(header.PinBundle)),
	})
	if ref != nil {
		x.refuse(ref)
		return
	}
	defer ticket.Release()
	x.permit = ticket
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
	answer, err := client.Do(out.Request)
	if err != nil {
		x.refuseFailure(err)
		return
	}
	defer func() { _ = answer.Body.Close() }()
	if ref := x.checkResponse(answer); ref != nil {
		x.refuse(ref)
		return
	}
	if strings.HasPrefix(answer.Header.Get("Content-Type"), eventStreamType) {
		x.relayStream(answer)
		return
	}
	x.relayBuffered(answer)
}

// newTargetRequest builds the request to the target.
func (x *exchange) newTargetRequest(body []byte) (*passage.Passage, error) {
	path := strings.TrimPrefix(x.r.URL.EscapedPath(), header.DispatchPath)
	u, err := x.BaseURL.Parse(path)
	if err != nil {
		return nil, errors.Wrap(err, "target path")
	}
	out, err := passage.New(x.r.Context(), x.r, u, body, x.once)
	if err != nil {
		return nil, err
	}
	out.Request.Header.Set(header.EnginePriority, x.r.Header.Get(header.Priority))
	if n := x.r.Header.Get(header.ResumeTokens); n != "" {
		out.Request.Header.Set(header.EngineResume, n)
	}
	return out, nil
}

// refuseFailure answers a request to which the target gave no answer.
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

// checkResponse refuses an answer that belongs to another request or version.
func (x *exchange) checkResponse(answer *http.Response) *refusal.Refusal {
	if echo := answer.Header.Get(header.RequestID); echo != "" && echo != string(x.request) {
		return refusal.UnknownOutcome(refusal.AnswerCrossed, "target answered another request")
	}
	version := answer.Header.Get(header.EngineVersion)
	if x.Kind == view.TargetEngine && version != "" && version != string(x.permit.Installed.Bundle) {
		return refusal.UnknownOutcome(refusal.VersionChanged, "target answered from version "+version)
	}
	return nil
}

func (x *exchange) setHeaders(answer *http.Response) {
	h := x.w.Header()
	for k, v := range answer.Header {
		if passage.HopByHop(k) || k == header.RequestID || strings.HasPrefix(k, header.OwnPrefix) {
			continue
		}
		h[k] = v
	}
	if x.Kind == view.TargetEngine {
		h.Set(header.Bundle, string(x.permit.Installed.Bundle))
	}
	x.setLoadHeader()
}

// relayBuffered holds an answer until it is complete.
func (x *exchange) relayBuffered(answer *http.Response) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedBytes+1))
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
	x.recordResult(answer.StatusCode)
	x.setHeaders(answer)
	if len(body) <= maxBufferedBytes {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.w.WriteHeader(answer.StatusCode)
	if _, err := x.w.Write(body); err != nil {
		return
	}
	if len(body) <= maxBufferedBytes {
		return
	}
	if _, err := io.Copy(x.w, answer.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// recordResult takes the end of an answer as a sign of how the target does.
func (x *exchange) recordResult(status int) {
	if status >= http.StatusInternalServerError {
		x.OnFailure()
		return
	}
	x.Ramp.RecordCompletion()
}

// relayStream passes a relayStream of events on. It breaks the connection, so that the
// entry sees the break, unless the stream came to its end.
func (x *exchange) relayStream(answer *http.Response) {
	inspector := &stream.Inspector{Version: string(x.permit.Installed.Bundle)}
	buffer := make([]byte, readBufferBytes)
	begun := false
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			begun = x.relayPart(answer, inspector, buffer[:n], begun)
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			x.abortStream(begun, err)
			return
		}
	}
	if !inspector.Complete() {
		x.abortStream(begun, io.ErrUnexpectedEOF)
		return
	}
	x.recordResult(answer.StatusCode)
}

func (x *exchange) relayPart(answer *http.Response, i *stream.Inspector, part []byte, begun bool) bool {
	whole, err := i.Inspect(part)
	if err != nil {
		x.Metrics.CountReason("StreamBroken", string(refusal.VersionChanged))
		x.OnFailure()
		panic(http.ErrAbortHandler)
	}
	if len(whole) == 0 {
		return begun
	}
	if !begun {
		if x.Ramp.RecordFirstToken(time.Since(x.sentAt)) {
			x.OnCold()
		}
		x.setHeaders(answer)
		x.w.WriteHeader(answer.StatusCode)
	}
	x.recordGap()
	if _, err := x.w.Write(whole); err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = http.NewResponseController(x.w).Flush()
	return true
}

// recordGap tells the ramp the time since the part before.
func (x *exchange) recordGap() {
	now := time.Now()
	if !x.lastPartAt.IsZero() && x.Ramp.RecordGap(now.Sub(x.lastPartAt)) {
		x.OnCold()
	}
	x.lastPartAt = now
}

func (x *exchange) abortStream(begun bool, err error) {
	if !begun {
		x.refuseFailure(err)
		return
	}
	if !errors.Is(err, context.Canceled) {
		x.OnFailure()
	}
	x.Metrics.Count("StreamBroken")
	panic(http.ErrAbortHandler)
}
