package simengine

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/alexedwards/flow"

	"egretproxy/internal/standin/textgen"
	"egretproxy/internal/wire/header"
)

const (
	defaultMaxTokens = 16
	maxBodyBytes     = 16 << 20
)

// completionRequest is the body of a completion request in the OpenAI format.
type completionRequest struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

func (c completionRequest) text() string {
	if len(c.Messages) > 0 {
		return string(c.Messages)
	}
	return string(c.Prompt)
}

// Handler returns a handler for the engine's API. Cancelling ctx cancels loads that
// are in progress.
func (e *Engine) Handler(ctx context.Context) http.Handler {
	mux := flow.New()
	mux.HandleFunc("/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Status()) }, http.MethodGet)
	mux.HandleFunc("/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Counts()) }, http.MethodGet)
	mux.HandleFunc("/events", e.handleEvents, http.MethodGet)
	mux.HandleFunc("/orders/load", func(w http.ResponseWriter, r *http.Request) { e.handleLoad(ctx, w, r) }, http.MethodPost)
	mux.HandleFunc("/orders/role", e.handleRole, http.MethodPost)
	mux.HandleFunc("/kv/export", e.handleExport, http.MethodPost)
	mux.HandleFunc("/kv/import", e.handleImport, http.MethodPost)
	mux.HandleFunc("/faults/:fault", e.handleFault, http.MethodPost)
	mux.HandleFunc("/v1/completions", e.handleCompletion, http.MethodPost)
	mux.HandleFunc("/v1/chat/completions", e.handleCompletion, http.MethodPost)
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	writeJSON(w, e.eventsSince(after, time.Now()))
}

func (e *Engine) handleLoad(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	var o loadOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.acceptLoad(ctx, o) {
		http.Error(w, "fencing number is old", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) handleRole(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.role = r.URL.Query().Get("role")
	w.WriteHeader(http.StatusAccepted)
}

// handleExport writes the cached part of a prompt, which handleImport of another
// engine with the same version adds to its cache.
func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	prompt := r.URL.Query().Get("prompt")
	e.mu.Lock()
	defer e.mu.Unlock()
	_, hit := e.cache.match(prompt)
	writeJSON(w, map[string]string{"Version": e.version, "Prompt": base64.StdEncoding.EncodeToString([]byte(prompt[:hit*blockBytes]))})
}

func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var in struct{ Version, Prompt string }
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	prompt, err := base64.StdEncoding.DecodeString(in.Prompt)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil || in.Version != e.version {
		http.Error(w, "cache of another version", http.StatusConflict)
		return
	}
	e.cachePrompt(string(prompt), time.Now())
}

// handleFault injects the fault that the path names.
func (e *Engine) handleFault(w http.ResponseWriter, r *http.Request) {
	switch r.PathValue("fault") {
	case "cool":
		e.MakeCold()
	case "restart":
		e.Restart()
	case "mark":
		e.SetMarked(true)
	case "unmark":
		e.SetMarked(false)
	default:
		http.NotFound(w, r)
	}
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var params completionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&params); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if params.MaxTokens <= 0 {
		params.MaxTokens = defaultMaxTokens
	}
	priority, _ := strconv.Atoi(r.Header.Get(header.EnginePriority))
	resume, _ := strconv.Atoi(r.Header.Get(header.EngineResume))
	request := e.Submit(r.Context(), params.text(), priority, params.MaxTokens, min(resume, params.MaxTokens-1))
	if request == nil {
		http.Error(w, "no version is loaded", http.StatusServiceUnavailable)
		return
	}
	rs := &responder{engine: e, w: w, r: r, params: params, request: request, chat: strings.Contains(r.URL.Path, "chat")}
	w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	w.Header().Set(header.EngineVersion, request.version)
	if params.Stream {
		rs.writeStream()
		return
	}
	rs.writeWhole()
}

// responder writes the response to one completion request.
type responder struct {
	engine  *Engine
	w       http.ResponseWriter
	r       *http.Request
	params  completionRequest
	request *Request
	chat    bool
}

// nextToken waits for the number of the next token. ok is false after the last one.
// If the request is aborted or its caller has disconnected, nextToken panics with
// http.ErrAbortHandler, which closes the connection.
func (rs *responder) nextToken() (number int, ok bool) {
	select {
	case n, ok := <-rs.request.output:
		return n, ok
	case <-rs.request.aborted:
		panic(http.ErrAbortHandler)
	case <-rs.r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

func (rs *responder) tokenText(n int) string {
	return textgen.Token(rs.request.version, rs.request.prompt, n)
}

// writeWhole writes the answer as one JSON body.
func (rs *responder) writeWhole() {
	var text strings.Builder
	for {
		n, ok := rs.nextToken()
		if !ok {
			break
		}
		text.WriteString(rs.tokenText(n))
	}
	writeJSON(rs.w, rs.body(text.String(), false, "stop"))
}

// writeStream writes the answer as server-sent events, one for each token.
func (rs *responder) writeStream() {
	rs.w.Header().Set("Content-Type", "text/event-stream")
	for {
		n, ok := rs.nextToken()
		if !ok {
			break
		}
		finish := ""
		if n == rs.params.MaxTokens-1 {
			finish = "stop"
		}
		data, err := json.Marshal(rs.body(rs.tokenText(n), true, finish))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(rs.w, "data: %s\n\n", data)
		_ = http.NewResponseController(rs.w).Flush()
	}
	_, _ = rs.w.Write([]byte("data: [DONE]\n\n"))
}

// body returns a response in the OpenAI format. part is set for an event of a
// stream, and finish is the finish reason, or empty before the last event.
func (rs *responder) body(text string, part bool, finish string) map[string]any {
	choice := map[string]any{"index": 0, "finish_reason": nil}
	if finish != "" {
		choice["finish_reason"] = finish
	}
	object := "text_completion"
	switch {
	case rs.chat && part:
		object = "chat.completion.chunk"
		choice["delta"] = map[string]string{"role": "assistant", "content": text}
	case rs.chat:
		object = "chat.completion"
		choice["message"] = map[string]string{"role": "assistant", "content": text}
	default:
		choice["text"] = text
	}
	return map[string]any{
		"id": "cmpl-" + rs.r.Header.Get(header.RequestID), "object": object, "created": time.Now().Unix(),
		"model": rs.params.Model, "system_fingerprint": rs.request.version, "choices": []any{choice},
		"usage": map[string]int{
			"prompt_tokens": len(rs.request.prompt) / 4, "completion_tokens": rs.params.MaxTokens,
			"total_tokens": len(rs.request.prompt)/4 + rs.params.MaxTokens,
		},
	}
}
