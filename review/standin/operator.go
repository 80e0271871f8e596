package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// callTimeout is the time without a response after which a caller of the control
// plane moves on to another daemon.
const callTimeout = time.Second

// call sends one call on a connection of its own.
func call(method, address, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// order sends an order to the machines in turn until one acknowledges it, and
// returns when it did. It is sent again for at most limit.
func (s *site) order(what, method, path string, body []byte, limit time.Duration, to ...*machine) (time.Time, bool) {
	began := time.Now()
	for i := 0; time.Since(began) < limit; i++ {
		m := to[i%len(to)]
		s.rec.add("operator sends %s to %s", what, m.name)
		status, _, err := call(method, m.controlPlane(), path, body, callTimeout)
		if err == nil && status/100 == 2 {
			at := time.Now()
			s.rec.add("%s acknowledges %s", m.name, what)
			return at, true
		}
		s.rec.add("%s gives no acknowledgement of %s: status %d, %v", m.name, what, status, err)
		time.Sleep(time.Duration(50*(i+1)) * time.Millisecond)
	}
	return time.Time{}, false
}

type object map[string]any

// configuration is a configuration of one version. Each of the routes has a prefix
// and is of a kind.
func configuration(version int, routes []object, services []object) []byte {
	data, _ := json.Marshal(object{
		"version": version, "routes": routes, "services": services,
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return data
}

const (
	hostName    = "touren.example"
	plainName   = "touren"
	readPrefix  = "/read/"
	writePrefix = "/write/"
)

// plainRoutes are those of the plain service of the small site.
func plainRoutes() []object {
	route := func(name, prefix, kind string, attempts int) object {
		return object{
			"name": name, "host": hostName, "pathPrefix": prefix, "kind": kind, "timeoutMs": 3000, "targetLatencyMs": 300,
			"priority": 2, "service": plainName, "maxAttempts": attempts, "public": true, "sessionAffinity": false,
			"streamResumption": false, "gapTargetMs": 0, "allowedRegions": []string{},
		}
	}
	return []object{route("route-lesen", readPrefix, "idempotent", 2), route("leerung-buchen", writePrefix, "non_idempotent", 1)}
}

func plainServices() []object {
	return []object{{
		"name": plainName, "healthCheckPath": "/health", "connectionLimit": 54, "protocol": "h1", "tls": false,
		"coldStartS": 0.0, "coldPerS": 0.0,
	}}
}

// readConfiguration asks a machine for the configuration. It returns the version, or
// 0 with the reason.
func readConfiguration(m *machine) (int, string) {
	status, data, err := call(http.MethodGet, m.controlPlane(), words["configuration"], nil, 2*time.Second)
	if err != nil {
		return 0, err.Error()
	}
	var c struct {
		Version int `json:"version"`
	}
	if status != http.StatusOK || json.Unmarshal(data, &c) != nil {
		return 0, fmt.Sprintf("status %d", status)
	}
	return c.Version, ""
}
