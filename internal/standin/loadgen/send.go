package loadgen

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"egretproxy/internal/standin/textgen"
	"egretproxy/internal/wire/header"
)

const (
	maxAttempts = 3
	resendDelay = 300 * time.Millisecond
)

func (g *Generator) send(s requestSpec) {
	g.updateCounts(func(c *Counts) { c.Requests++ })
	if s.nonIdempotent {
		g.sendRetire(s)
		return
	}
	g.sendCompletion(s)
}

func (g *Generator) post(s requestSpec, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequest(http.MethodPost, g.nextEntry()+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+s.key)
	req.Header.Set("Content-Type", "application/json")
	if s.nonIdempotent {
		req.Header.Set(header.IdempotencyKey, s.record)
		req.GetBody = nil
	}
	return g.client.Do(req)
}

// sendRetire sends a non-idempotent request and retries it under the same
// idempotency key, as a real caller does, if no response arrived or if
// Config.Resend is set.
func (g *Generator) sendRetire(s requestSpec) {
	lastOutcome := ""
	for attempt := range maxAttempts {
		if attempt > 0 {
			time.Sleep(resendDelay)
		}
		resp, err := g.post(s, "/inventory/retire", map[string]string{"Record": s.record})
		if err != nil {
			lastOutcome = "Unknown"
			continue
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK {
			g.checkRetireAnswer(s, body)
			return
		}
		lastOutcome = resp.Header.Get(header.Outcome)
		g.updateCounts(func(c *Counts) { c.Reasons[resp.Header.Get(header.Reason)]++ })
		if !g.cfg.Resend {
			break
		}
	}
	g.updateCounts(func(c *Counts) {
		if lastOutcome == "NotRun" {
			c.RefusedNotRun++
			c.NotRun = append(c.NotRun, s.record)
			return
		}
		c.OutcomeUnknown++
	})
}

func (g *Generator) checkRetireAnswer(s requestSpec, body []byte) {
	g.updateCounts(func(c *Counts) {
		if !strings.Contains(string(body), s.record) {
			c.Wrong++
			return
		}
		c.Answered++
		c.Done = append(c.Done, s.record)
	})
}

func (g *Generator) sendCompletion(s requestSpec) {
	path, body := "/v1/completions", map[string]any{
		"model": g.cfg.Model, "prompt": s.prompt, "max_tokens": g.cfg.MaxTokens, "stream": s.stream,
	}
	if s.chat {
		path = "/v1/chat/completions"
		delete(body, "prompt")
		body["messages"] = []map[string]string{{"role": "user", "content": s.prompt}}
	}
	started := time.Now()
	resp, err := g.post(s, path, body)
	if err != nil {
		g.updateCounts(func(c *Counts) { c.CutOff++ })
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		g.recordRefusal(resp)
		return
	}
	text, versions, whole := "", map[string]bool{}, false
	if s.stream {
		text, versions, whole = g.readStream(resp.Body, started)
	} else {
		text, versions, whole = readBody(resp.Body)
	}
	g.checkCompletion(s, resp.Header.Get(header.Bundle), text, versions, whole)
}

// checkCompletion compares an answer with the text that the version in its bundle
// header generates for the prompt. versions holds the versions that its parts
// name, and whole is false for an incomplete answer.
func (g *Generator) checkCompletion(s requestSpec, bundle, text string, versions map[string]bool, whole bool) {
	g.updateCounts(func(c *Counts) {
		if !whole {
			c.CutOff++
			return
		}
		if len(versions) != 1 || !versions[bundle] {
			c.Mixed++
			return
		}
		if text != textgen.Answer(bundle, s.encodedPrompt(), g.cfg.MaxTokens) {
			c.Wrong++
			return
		}
		c.Answered++
		c.Versions[bundle]++
	})
}

// encodedPrompt returns the prompt as it is encoded in the request body. The
// engines generate their answers from these bytes.
func (s requestSpec) encodedPrompt() string {
	if s.chat {
		data, _ := json.Marshal([]map[string]string{{"role": "user", "content": s.prompt}})
		return string(data)
	}
	data, _ := json.Marshal(s.prompt)
	return string(data)
}

// completionPart is a response in the OpenAI format or one event of a stream.
type completionPart struct {
	Fingerprint string `json:"system_fingerprint"`
	Choices     []struct {
		Text    string `json:"text"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error any `json:"error"`
}

func (p completionPart) text() string {
	out := ""
	for _, c := range p.Choices {
		out += c.Text + c.Message.Content + c.Delta.Content
	}
	return out
}

// readBody reads a response that is not a stream. It returns the text, the version
// that it names and whether it is complete.
func readBody(r io.Reader) (string, map[string]bool, bool) {
	var p completionPart
	err := json.NewDecoder(r).Decode(&p)
	return p.text(), map[string]bool{p.Fingerprint: true}, err == nil
}

// readStream reads a stream. It returns the text, the versions that its events
// name and whether it is complete, and records the time to the first token.
func (g *Generator) readStream(r io.Reader, started time.Time) (string, map[string]bool, bool) {
	var text strings.Builder
	versions := map[string]bool{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), versions, true
		}
		if text.Len() == 0 {
			g.recordFirstToken(time.Since(started))
		}
		var p completionPart
		if err := json.Unmarshal([]byte(data), &p); err != nil || p.Error != nil {
			g.updateCounts(func(c *Counts) { c.Reasons[fmt.Sprintf("stream: %v", p.Error)]++ })
			return "", versions, false
		}
		text.WriteString(p.text())
		versions[p.Fingerprint] = true
	}
	return "", versions, false
}

func (g *Generator) recordFirstToken(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.firstTokenTimes.RecordValue(min(d.Microseconds(), maxMicroseconds))
}
