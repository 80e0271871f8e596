package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"egretproxy/internal/standin/script"
	"egretproxy/internal/wire/header"
)

const (
	resends     = 3
	resendPause = 300 * time.Millisecond
)

func (l *Load) send(s shape) {
	l.count(func(c *Counts) { c.Requests++ })
	if s.once {
		l.retire(s)
		return
	}
	l.complete(s)
}

func (l *Load) request(s shape, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequest(http.MethodPost, l.entry()+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+s.key)
	r.Header.Set("Content-Type", "application/json")
	if s.once {
		r.Header.Set(header.IdempotencyKey, s.record)
		r.GetBody = nil
	}
	return l.client.Do(r)
}

// retire sends a request that may not be repeated, and resends it under the
// same key, as a caller's program does, where no answer came.
func (l *Load) retire(s shape) {
	last := ""
	for try := range resends {
		if try > 0 {
			time.Sleep(resendPause)
		}
		w, err := l.request(s, "/inventory/retire", map[string]string{"Record": s.record})
		if err != nil {
			last = "Unknown"
			continue
		}
		body, err := io.ReadAll(w.Body)
		_ = w.Body.Close()
		if err == nil && w.StatusCode == http.StatusOK {
			l.retired(s, body)
			return
		}
		last = w.Header.Get(header.Outcome)
		l.count(func(c *Counts) { c.Reasons[w.Header.Get(header.Reason)]++ })
		if !l.cfg.Resend {
			break
		}
	}
	l.count(func(c *Counts) {
		if last == "NotRun" {
			c.RefusedNotRun++
			c.NotRun = append(c.NotRun, s.record)
			return
		}
		c.OutcomeUnknown++
	})
}

func (l *Load) retired(s shape, body []byte) {
	l.count(func(c *Counts) {
		if !strings.Contains(string(body), s.record) {
			c.Wrong++
			return
		}
		c.Answered++
		c.Done = append(c.Done, s.record)
	})
}

func (l *Load) complete(s shape) {
	path, body := "/v1/completions", map[string]any{
		"model": l.cfg.Model, "prompt": s.prompt, "max_tokens": l.cfg.Tokens, "stream": s.stream,
	}
	if s.chat {
		path = "/v1/chat/completions"
		delete(body, "prompt")
		body["messages"] = []map[string]string{{"role": "user", "content": s.prompt}}
	}
	started := time.Now()
	w, err := l.request(s, path, body)
	if err != nil {
		l.count(func(c *Counts) { c.CutOff++ })
		return
	}
	defer func() { _ = w.Body.Close() }()
	if w.StatusCode != http.StatusOK {
		l.refused(w)
		return
	}
	text, versions, whole := "", map[string]bool{}, false
	if s.stream {
		text, versions, whole = l.readStream(w.Body, started)
	} else {
		text, versions, whole = readBody(w.Body)
	}
	l.judge(s, w.Header.Get(header.Bundle), text, versions, whole)
}

// judge compares an answer with the one that its version must give.
func (l *Load) judge(s shape, bundle, text string, versions map[string]bool, whole bool) {
	l.count(func(c *Counts) {
		if !whole {
			c.CutOff++
			return
		}
		if len(versions) != 1 || !versions[bundle] {
			c.Mixed++
			return
		}
		if text != script.Answer(bundle, s.sent(), l.cfg.Tokens) {
			c.Wrong++
			return
		}
		c.Answered++
		c.Versions[bundle]++
	})
}

// sent returns the prompt as it stands in the request.
func (s shape) sent() string {
	if s.chat {
		data, _ := json.Marshal([]map[string]string{{"role": "user", "content": s.prompt}})
		return string(data)
	}
	data, _ := json.Marshal(s.prompt)
	return string(data)
}

// part is an answer in the OpenAI format, or one event of it.
type part struct {
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

func (p part) text() string {
	out := ""
	for _, c := range p.Choices {
		out += c.Text + c.Message.Content + c.Delta.Content
	}
	return out
}

func readBody(r io.Reader) (string, map[string]bool, bool) {
	var p part
	err := json.NewDecoder(r).Decode(&p)
	return p.text(), map[string]bool{p.Fingerprint: true}, err == nil
}

func (l *Load) readStream(r io.Reader, started time.Time) (string, map[string]bool, bool) {
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
			l.noteFirst(time.Since(started))
		}
		var p part
		if err := json.Unmarshal([]byte(data), &p); err != nil || p.Error != nil {
			l.count(func(c *Counts) { c.Reasons[fmt.Sprintf("stream: %v", p.Error)]++ })
			return "", versions, false
		}
		text.WriteString(p.text())
		versions[p.Fingerprint] = true
	}
	return "", versions, false
}

func (l *Load) noteFirst(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.first.RecordValue(min(d.Microseconds(), maxMicroseconds))
}
