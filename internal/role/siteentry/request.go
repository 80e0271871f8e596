package siteentry

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"egretproxy/internal/exchange/connpool"
	"egretproxy/internal/exchange/dispatch"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/httpserver"
	"egretproxy/internal/request/prompt"
	"egretproxy/internal/site/plan"
	"egretproxy/internal/site/siteclient"
	"egretproxy/internal/wire/reply"
)

const (
	// defaultDeadline applies to callers that send no deadline.
	defaultDeadline = 30 * time.Second
	// responseMargin is reserved for returning a failure to the caller before its
	// deadline.
	responseMargin = 30 * time.Millisecond
	// unreadMargin is how long after its own deadline a caller may still read its
	// response.
	unreadMargin = time.Second
	// maxPriority is the lowest priority that targets accept. Larger numbers
	// mean lower priority.
	maxPriority = 9
)

// job is the state of one caller's request.
type job struct {
	entry *Entry
	reply reply.Reply
	r     *http.Request
	id    string
	view  *siteclient.View
	// route and tenant are taken from view. tenant is nil for public routes.
	route  *plan.Route
	tenant *plan.Tenant
	// service is picked once, according to the route's shares.
	service   *plan.Service
	priority  int
	regions   [][]id.Region
	body      []byte
	startedAt time.Time
	// readAt is when the request's header was read, sentAt when the latest attempt
	// was about to be written to its target.
	readAt, sentAt moment
	// unacked is the number of bytes of the latest attempt that its target's
	// system lacked when it was cancelled.
	unacked int
	// outlived is set once the request was too old to be sent.
	outlived bool
	// parts are the parts of the prompt that other requests may share.
	parts []id.PromptPart
	// digest identifies the request among attempts. marks are the parts and the
	// digest, which verdicts match.
	digest id.PromptPart
	marks  []id.PromptPart
	// testing is set while no other request of the entry may test a verdict, tests if
	// this one tests a verdict that matches it. shutOutBy is the verdict that shuts it
	// out.
	testing   bool
	tests     bool
	shutOutBy *siteclient.Verdict
	// passed is set once the request was let through in spite of the ends that this
	// entry knows, heldFor is how long it must still be held back for them.
	passed  bool
	heldFor time.Duration
	// begunAt is when the response of the latest attempt began, or zero. harmless is
	// set once that response shows that no part of the prompt ends targets, whole once
	// it has come to its end, whatever its status. givenUp is set if its caller or its
	// deadline ended it while the target still worked. brokenBy is the error with
	// which the target broke that attempt off, if it did.
	begunAt  time.Time
	harmless bool
	whole    bool
	givenUp  bool
	brokenBy error
	// attemptAt is when the latest attempt began.
	attemptAt time.Time
	// deadline is when the caller must have the complete response.
	deadline time.Time
	// waitsUntil is when the caller no longer waits, which may be later.
	waitsUntil time.Time
	// target is the target of the latest attempt.
	target id.Target
	// tried lists the targets that were tried, including those that refused the
	// connection.
	tried []id.Target
	// sent counts the requests sent to targets, whether run or not.
	sent int
	// mayHaveRun is set once a target may have run the request without
	// delivering a complete response.
	mayHaveRun bool
	// retryReserved is set when the next retry has already been taken from the
	// budget.
	retryReserved atomic.Bool
	// nextTarget is the grant reserved for the next attempt, or nil.
	nextTarget atomic.Pointer[dispatch.Grant]
	waited     time.Duration
	// retried is set when the caller appears to have sent this request before.
	retried bool
	// stream is the state of a streamed response, nil before the first one.
	stream *stream
	// lastError describes the latest failure, for the log and for error
	// responses.
	lastError string
}

func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	e.active.Add(1)
	defer e.active.Add(-1)
	read := e.now()
	j := &job{entry: e, r: r, id: r.Header.Get(e.Settings.Headers.Attempt), startedAt: read.steady, readAt: read}
	j.reply = reply.New(w, j.recordLost)
	if !j.admit() {
		j.reply.Close()
		return
	}
	j.reply.LimitTime(j.waitsUntil.Add(unreadMargin))
	bounded, release := e.stop.bound(r.Context())
	defer release()
	ctx, cancel := context.WithDeadline(bounded, j.deadline)
	defer cancel()
	j.run(ctx)
	j.reply.Close()
}

// admit finds the route and the organisation and reads the body. It reports
// whether the request may proceed; otherwise a response has been sent.
func (j *job) admit() bool {
	e := j.entry
	j.awaitPlan()
	j.view = e.Views.View()
	p := j.view.Plan
	if p == nil {
		j.refuse("NoPlan", "no configuration is known yet")
		return false
	}
	stale := !j.confirmed()
	if j.route = p.Match(hostOf(j.r.Host), j.r.URL.Path); j.route == nil {
		if stale || !j.planComplete() {
			j.refuse("Stale", "configuration is not confirmed")
			return false
		}
		j.fail(http.StatusNotFound, "NoRoute", "no route matches")
		return false
	}
	if p.HasTenants() && !j.route.Public && !j.identify(p, stale) {
		return false
	}
	j.schedule()
	if !j.readBody(p.Limits.BodyBytes) {
		return false
	}
	j.identifyRequest()
	return true
}

// confirmed reports whether a quorum has confirmed the plan recently enough
// for keys to be accepted.
func (j *job) confirmed() bool { return j.entry.Views.Age() <= j.entry.Settings.Lease }

// planComplete reports whether the plan holds everything that must be in force, so
// that what it lacks does not exist.
func (j *job) planComplete() bool {
	limit := j.entry.Settings.PlanLease
	return limit == 0 || j.entry.Views.Age() <= limit
}

// identify finds the organisation that holds the key.
func (j *job) identify(p *plan.Plan, stale bool) bool {
	if stale {
		// The key may have been revoked since the last confirmation.
		j.refuse("Stale", "keys are not confirmed")
		return false
	}
	j.tenant = p.TenantOf(j.r.Header.Get(j.entry.Settings.Headers.Key))
	if j.tenant == nil && !j.planComplete() {
		j.refuse("Stale", "keys are not confirmed")
		return false
	}
	if j.tenant == nil {
		j.fail(http.StatusUnauthorized, "UnknownKey", "key is not known")
		return false
	}
	return true
}

// schedule picks the service and sets the priority, regions and deadline.
func (j *job) schedule() {
	j.service = j.view.Plan.Services[pickService(j.route.Shares)]
	if list := j.r.Header.Get(j.entry.Settings.Headers.Prompt); list != "" {
		j.parts = prompt.SharedParts(list)
	}
	j.priority = j.route.Priority
	if len(j.route.Regions) > 0 {
		j.regions = append(j.regions, j.route.Regions)
	}
	if j.tenant != nil {
		if j.tenant.Priority >= 0 {
			j.priority = j.tenant.Priority
		}
		if len(j.tenant.Regions) > 0 {
			j.regions = append(j.regions, j.tenant.Regions)
		}
	}
	remaining := defaultDeadline
	if ms, err := strconv.ParseInt(j.r.Header.Get(j.entry.Settings.Headers.Deadline), 10, 64); err == nil && ms >= 0 && ms < defaultDeadline.Milliseconds() {
		remaining = time.Duration(ms) * time.Millisecond
	}
	j.retried = j.entry.retryDetector.Observe(j.route.Name, remaining)
	j.waitsUntil = j.startedAt.Add(remaining)
	j.deadline = j.startedAt.Add(min(remaining, j.route.Timeout) - responseMargin)
}

func pickService(shares []plan.Share) id.Service {
	total := 0
	for _, s := range shares {
		total += s.Weight
	}
	at := rand.IntN(total)
	for _, s := range shares {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return shares[0].Service
}

// readBody reads the whole body, so that it can be sent to a second target.
func (j *job) readBody(limit int64) bool {
	if limit > 0 {
		j.reply.LimitBody(j.r, limit)
	}
	expiring := j.expireBody()
	body, err := io.ReadAll(j.r.Body)
	if !expiring() {
		// net/http also takes the caller for gone, and the request comes too late.
		if j.entry.stop.ended() {
			j.refuse("Stopping", errStopping.Error())
			return false
		}
		j.refuseBody(httpserver.Refusal{Status: http.StatusRequestTimeout, Reason: "BodyTooSlow"})
		return false
	}
	if err == nil {
		j.body = body
		return true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		j.fail(http.StatusRequestEntityTooLarge, "BodyTooLarge", "body is too large")
		return false
	}
	if refusal, ok := httpserver.BodyRefusal(err); ok {
		j.refuseBody(refusal)
		return false
	}
	j.logEnd("Caller left while sending the body", "CallerLeft")
	j.reply.Abort()
	return false
}

// outgoing builds the request to the target, but for its deadline.
func (j *job) outgoing(target id.Target, minWeights int64) *connpool.Request {
	names := j.entry.Settings.Headers
	h := j.r.Header.Clone()
	for _, field := range h["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
	for _, name := range []string{names.Key, names.Organisation, names.Weights, names.Priority} {
		delete(h, name)
	}
	if j.tenant != nil {
		h[names.Organisation] = []string{string(j.tenant.Name)}
	}
	h[names.Target] = []string{string(target)}
	h[names.Priority] = []string{strconv.Itoa(min(max(j.priority, 0), maxPriority))}
	if minWeights > 0 {
		h[names.Weights] = []string{strconv.FormatInt(minWeights, 10)}
	}
	if j.stream != nil && j.stream.lastID != "" {
		h[names.LastEvent] = []string{j.stream.lastID}
	}
	return &connpool.Request{
		Method: j.r.Method, URI: j.r.RequestURI, Host: j.r.Host,
		Header: h, Body: j.body, EchoHeader: names.Attempt,
	}
}

// hopHeaders are the hop-by-hop fields (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
