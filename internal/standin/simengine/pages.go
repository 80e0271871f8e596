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

// completionRequest is a request in the OpenAI format.
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

// Handler serves the engine's protocol. Loads end with the context.
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

// handleExport writes the cached blocks of a prompt, handleImport takes them in.
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

// handleFault makes the engine fail on purpose.
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
	var c completionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if c.MaxTokens <= 0 {
		c.MaxTokens = defaultMaxTokens
	}
	priority, _ := strconv.Atoi(r.Header.Get(header.EnginePriority))
	resume, _ := strconv.Atoi(r.Header.Get(header.EngineResume))
	q := e.Submit(r.Context(), c.text(), priority, c.MaxTokens, min(resume, c.MaxTokens-1))
	if q == nil {
		http.Error(w, "no version is loaded", http.StatusServiceUnavailable)
		return
	}
	x := &responder{engine: e, w: w, r: r, params: c, request: q, chat: strings.Contains(r.URL.Path, "chat")}
	w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	w.Header().Set(header.EngineVersion, q.version)
	if c.Stream {
		x.writeStream()
		return
	}
	x.writeWhole()
}

// responder is one completion on its way out.
type responder struct {
	engine  *Engine
	w       http.ResponseWriter
	r       *http.Request
	params  completionRequest
	request *Request
	chat    bool
}

// nextToken waits for a token. ok is false at the end.
func (a *responder) nextToken() (number int, ok bool) {
	select {
	case n, ok := <-a.request.output:
		return n, ok
	case <-a.request.aborted:
		panic(http.ErrAbortHandler)
	case <-a.r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

func (a *responder) tokenText(n int) string {
	return textgen.Token(a.request.version, a.request.prompt, n)
}

func (a *responder) writeWhole() {
	var text strings.Builder
	for {
		n, ok := a.nextToken()
		if !ok {
			break
		}
		text.WriteString(a.tokenText(n))
	}
	writeJSON(a.w, a.body(text.String(), false, "stop"))
}

func (a *responder) writeStream() {
	a.w.Header().Set("Content-Type", "text/event-stream")
	for {
		n, ok := a.nextToken()
		if !ok {
			break
		}
		finish := ""
		if n == a.params.MaxTokens-1 {
			finish = "stop"
		}
		data, err := json.Marshal(a.body(a.tokenText(n), true, finish))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(a.w, "data: %s\n\n", data)
		_ = http.NewResponseController(a.w).Flush()
	}
	_, _ = a.w.Write([]byte("data: [DONE]\n\n"))
}

// body returns a completion in the OpenAI format.
func (a *responder) body(text string, part bool, finish string) map[string]any {
	choice := map[string]any{"index": 0, "finish_reason": nil}
	if finish != "" {
		choice["finish_reason"] = finish
	}
	object := "text_completion"
	switch {
	case a.chat && part:
		object = "chat.completion.chunk"
		choice["delta"] = map[string]string{"role": "assistant", "content": text}
	case a.chat:
		object = "chat.completion"
		choice["message"] = map[string]string{"role": "assistant", "content": text}
	default:
		choice["text"] = text
	}
	return map[string]any{
		"id": "cmpl-" + a.r.Header.Get(header.RequestID), "object": object, "created": time.Now().Unix(),
		"model": a.params.Model, "system_fingerprint": a.request.version, "choices": []any{choice},
		"usage": map[string]int{
			"prompt_tokens": len(a.request.prompt) / 4, "completion_tokens": a.params.MaxTokens,
			"total_tokens": len(a.request.prompt)/4 + a.params.MaxTokens,
		},
	}
}
