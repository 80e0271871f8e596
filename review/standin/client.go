package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// clientPatienceMs is how long a client waits.
const clientPatienceMs = 3000

// attempt is a request of a client to one entry.
type attempt struct {
	id     string
	prefix string
	to     *machine
	sentAt time.Time
	status int
	err    error
}

// clients send requests to entries. They keep what became of them.
type clients struct {
	site *site
	wait sync.WaitGroup
	stop chan struct{}

	mu       sync.Mutex
	number   int
	attempts map[string]*attempt
}

func newClients(s *site) *clients {
	return &clients{site: s, stop: make(chan struct{}), attempts: map[string]*attempt{}}
}

func (c *clients) send(m *machine, method, prefix string) *attempt {
	c.mu.Lock()
	c.number++
	a := &attempt{id: fmt.Sprintf("%016x", c.number), prefix: prefix, to: m, sentAt: time.Now()}
	c.attempts[a.id] = a
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), clientPatienceMs*time.Millisecond)
	defer cancel()
	body := io.Reader(nil)
	if method == http.MethodPost {
		body = strings.NewReader("emptied " + a.id)
	}
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+m.frontend()+prefix+a.id, body)
	req.Host = hostName
	req.Header.Set(words["attempt"], a.id)
	req.Header.Set(words["deadline"], strconv.Itoa(clientPatienceMs))
	h := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := h.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	a.err = err
	if resp != nil {
		a.status = resp.StatusCode
	}
	c.site.rec.add("client: %s %s%s sent to %s at %s, status %d, %v", method, prefix, a.id, m.name, c.site.rec.at(a.sentAt), a.status, err)
	return a
}

// run sends a request every interval to the machine until the clients stop. It skips
// a machine that the platform has taken out of rotation: two checks without a 200.
func (c *clients) run(m *machine, method, prefix string, interval time.Duration) {
	misses := make(chan int, 1)
	misses <- 0
	c.wait.Go(func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-c.stop:
				return
			case <-ticker.C:
			}
			ok := m.isReady()
			n := <-misses
			if n++; ok {
				n = 0
			}
			misses <- n
		}
	})
	c.wait.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-c.stop:
				return
			case <-ticker.C:
			}
			n := <-misses
			misses <- n
			if n < 2 {
				c.wait.Go(func() { c.send(m, method, prefix) })
			}
		}
	})
}

func (c *clients) finish() {
	close(c.stop)
	c.wait.Wait()
}

func (c *clients) find(id string) *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attempts[id]
}

// sentAfter returns the attempts that were sent from a moment on.
func (c *clients) sentAfter(from time.Time) []*attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*attempt
	for _, a := range c.attempts {
		if !a.sentAt.Before(from) {
			out = append(out, a)
		}
	}
	return out
}
