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

func (l *Generator) send(s requestSpec) {
	l.updateCounts(func(c *Counts) { c.Requests++ })
	if s.nonIdempotent {
		l.sendRetire(s)
		return
	}
	l.sendCompletion(s)
}

func (l *Generator) post(s requestSpec, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequest(http.MethodPost, l.nextEntry()+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+s.key)
	r.Header.Set("Content-Type", "application/json")
	if s.nonIdempotent {
		r.Header.Set(header.IdempotencyKey, s.record)
		r.GetBody = nil
	}
	return l.client.Do(r)
}

// sendRetire sends a request that may not be repeated, and resends it under the
// same key, as a caller's program does, where no answer came.
func (l *Generator) sendRetire(s requestSpec) {
	last := ""
	for try := range maxAttempts {
		if try > 0 {
			time.Sleep(resendDelay)
		}
		w, err := l.post(s, "/inventory/retire", map[string]string{"Record": s.record})
		if err != nil {
			last = "Unknown"
			continue
		}
		body, err := io.ReadAll(w.Body)
		_ = w.Body.Close()
		if err == nil && w.StatusCode == http.StatusOK {
			l.checkRetireAnswer(s, body)
			return
		}
		last = w.Header.Get(header.Outcome)
		l.updateCounts(func(c *Counts) { c.Reasons[w.Header.Get(header.Reason)]++ })
		if !l.cfg.Resend {
			break
		}
	}
	l.updateCounts(func(c *Counts) {
		if last == "NotRun" {
			c.RefusedNotRun++
			c.NotRun = append(c.NotRun, s.record)
			return
		}
		c.OutcomeUnknown++
	})
}

func (l *Generator) checkRetireAnswer(s requestSpec, body []byte) {
	l.updateCounts(func(c *Counts) {
		if !strings.Contains(string(body), s.record) {
			c.Wrong++
			return
		}
		c.Answered++
		c.Done = append(c.Done, s.record)
	})
}

func (l *Generator) sendCompletion(s requestSpec) {
	path, body := "/v1/completions", map[string]any{
		"model": l.cfg.Model, "prompt": s.prompt, "max_tokens": l.cfg.MaxTokens, "stream": s.stream,
	}
	if s.chat {
		path = "/v1/chat/completions"
		delete(body, "prompt")
		body["messages"] = []map[string]string{{"role": "user", "content": s.prompt}}
	}
	started := time.Now()
	w, err := l.post(s, path, body)
	if err != nil {
		l.updateCounts(func(c *Counts) { c.CutOff++ })
		return
	}
	defer func() { _ = w.Body.Close() }()
	if w.StatusCode != http.StatusOK {
		l.recordRefusal(w)
		return
	}
	text, versions, whole := "", map[string]bool{}, false
	if s.stream {
		text, versions, whole = l.readStream(w.Body, started)
	} else {
		text, versions, whole = readBody(w.Body)
	}
	l.checkCompletion(s, w.Header.Get(header.Bundle), text, versions, whole)
}

// checkCompletion compares an answer with the one that its version must give.
func (l *Generator) checkCompletion(s requestSpec, bundle, text string, versions map[string]bool, whole bool) {
	l.updateCounts(func(c *Counts) {
		if !whole {
			c.CutOff++
			return
		}
		if len(versions) != 1 || !versions[bundle] {
			c.Mixed++
			return
		}
		if text != textgen.Answer(bundle, s.encodedPrompt(), l.cfg.MaxTokens) {
			c.Wrong++
			return
		}
		c.Answered++
		c.Versions[bundle]++
	})
}

// encodedPrompt returns the prompt as it stands in the request.
func (s requestSpec) encodedPrompt() string {
	if s.chat {
		data, _ := json.Marshal([]map[string]string{{"role": "user", "content": s.prompt}})
		return string(data)
	}
	data, _ := json.Marshal(s.prompt)
	return string(data)
}

// completionPart is an answer in the OpenAI format, or one event of it.
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

func readBody(r io.Reader) (string, map[string]bool, bool) {
	var p completionPart
	err := json.NewDecoder(r).Decode(&p)
	return p.text(), map[string]bool{p.Fingerprint: true}, err == nil
}

func (l *Generator) readStream(r io.Reader, started time.Time) (string, map[string]bool, bool) {
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
			l.recordFirstToken(time.Since(started))
		}
		var p completionPart
		if err := json.Unmarshal([]byte(data), &p); err != nil || p.Error != nil {
			l.updateCounts(func(c *Counts) { c.Reasons[fmt.Sprintf("stream: %v", p.Error)]++ })
			return "", versions, false
		}
		text.WriteString(p.text())
		versions[p.Fingerprint] = true
	}
	return "", versions, false
}

func (l *Generator) recordFirstToken(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.firstTokenTimes.RecordValue(min(d.Microseconds(), maxMicroseconds))
}
