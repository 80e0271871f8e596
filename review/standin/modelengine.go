package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	modelName   = "sprachmodell"
	modelID     = "daka510000"
	modelPrefix = "/bericht/"
	pieces      = 48
	pieceBytes  = 4096
	layers      = 16
	// loadTime is how long an engine loads a version.
	loadTime = 300 * time.Millisecond
)

// pieceOf returns a piece of a version of the weights.
func pieceOf(version int64, n int) []byte {
	seed := sha256.Sum256(fmt.Appendf(nil, "%s %d %d", modelID, version, n))
	return bytes.Repeat(seed[:], pieceBytes/len(seed))
}

// startOrigin starts the stand-in for the origin of weights.
func (s *site) startOrigin(host int) (string, error) {
	address := s.at(host, s.ports.service)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc(words["manifest"], func(w http.ResponseWriter, r *http.Request) {
		version, _ := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
		digests := []string{}
		for n := range pieces {
			sum := sha256.Sum256(pieceOf(version, n))
			digests = append(digests, hex.EncodeToString(sum[:]))
		}
		writeJSON(w, http.StatusOK, object{"modelName": modelID, "version": version, "chunkBytes": pieceBytes, "layers": layers, "digests": digests})
	})
	mux.HandleFunc(words["piece"], func(w http.ResponseWriter, r *http.Request) {
		version, _ := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
		n, _ := strconv.Atoi(r.URL.Query().Get(words["pieceNumber"]))
		_, _ = w.Write(pieceOf(version, n))
	})
	go func() { _ = http.Serve(l, mux) }()
	return address, nil
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// modelConfigurations are the first configuration, with the routes of the plain
// service, and a second one that adds a route of the model engines.
func modelConfigurations(origin string) (first, second []byte) {
	route := object{
		"name": "tagesbericht", "host": hostName, "pathPrefix": modelPrefix, "kind": "streaming", "timeoutMs": 6000, "targetLatencyMs": 400,
		"priority": 1, "service": modelName, "maxAttempts": 2, "public": true, "sessionAffinity": true, "streamResumption": true,
		"gapTargetMs": 300, "allowedRegions": []string{},
	}
	services := append(plainServices(), object{
		"name": modelName, "healthCheckPath": "/health", "connectionLimit": 344, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 36.0,
		"engineKind": object{
			"slots": 16, "kvCapacityTokens": 1640000, "kvTokenBytes": 163840, "linkMbps": 400000.0, "stride": 6,
			"modelList": []object{{"name": modelID, "pace": 1.0, "loadTimeS": 4.0, "warmupS": 0.3}}, "sizeMb": 282000.0,
			"step_ms": 6.73, "per_seq_ms": 0.0219, "context_per_k": 0.0068, "read_per_s": 30600.0, "pairs_per_m": 0.647, "chunk": 2048,
			"report_lag_ms": 200.0, "usual": object{"prompt": 964, "answer": 119}, "layers": layers, "layer_mb": 4540.0,
			"act_bytes": 16384, "chunks": pieces, "chunkBytes": pieceBytes,
		},
	}, object{"name": "verwaltung", "origin": origin, "zone": zones[2], "linkMbps": 15.0, "connectionLimit": 48})
	return configuration(7, plainRoutes(), services), configuration(9, append(plainRoutes(), route), services)
}

// staged is a piece that lies at a model engine.
type staged struct {
	data []byte
	// badSince is when it turned bad.
	badSince time.Time
}

// modelEngine is a stand-in for a model engine.
type modelEngine struct {
	site              *site
	id, address, zone string
	// onVerified is called once, when the agent has read back all pieces of a
	// version.
	onVerified func()
	// losesAnswer makes the engine accept one order without a response.
	losesAnswer bool

	mu       sync.Mutex
	born     int64
	beats    int64
	orders   int64
	version  int64
	busy     bool
	active   int
	stage    map[int]*staged
	readBack int
	// frozen is closed when the machine wakes, nil while it runs.
	frozen chan struct{}
	// spoilt tells how the version in memory was spoilt.
	spoilt string
	// runs counts runs, spoiltRuns those on spoilt weights.
	runs, spoiltRuns int
}

func (s *site) newModelEngine(host int, id, zone string) (*modelEngine, error) {
	e := &modelEngine{site: s, id: id, zone: zone, address: s.at(host, s.ports.service), born: time.Now().UnixMilli(), version: 1, stage: map[int]*staged{}}
	for n := range pieces {
		e.stage[n] = &staged{data: pieceOf(1, n)}
	}
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(e.serve)) }()
	return e, nil
}

func (e *modelEngine) freeze() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frozen = make(chan struct{})
}

func (e *modelEngine) thaw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.frozen)
	e.frozen = nil
}

// awaitThaw waits while the machine is frozen.
func (e *modelEngine) awaitThaw() {
	e.mu.Lock()
	frozen := e.frozen
	e.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

// spoil turns a staged piece bad.
func (e *modelEngine) spoil(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.stage[n]
	bad := bytes.Clone(p.data)
	bad[0] ^= 0xff
	e.stage[n] = &staged{data: bad, badSince: time.Now()}
	e.site.rec.add("engine %s: piece %d turns bad", e.id, n)
}

// held is what the engine says of its weights. The caller holds mu.
func (e *modelEngine) held() object {
	return object{
		"inferenceStage": "prefill_decode", "modelList": []object{{"name": modelID, "version": e.version, "adapterList": []string{}}},
		"layers": object{"from": 0, "to": layers, "version": e.version}, "born": e.born,
	}
}

// announce sends heartbeats to the machines in turn.
func (e *modelEngine) announce(to ...*machine) {
	for n := 0; ; n++ {
		e.awaitThaw()
		e.mu.Lock()
		e.beats++
		body := e.held()
		body["service"], body["address"], body["zone"], body["slots"], body["state"] = modelName, e.address, e.zone, 16, "ready"
		body[words["coldRemaining"]], body["sequenceNumber"] = 0, e.beats
		e.mu.Unlock()
		data, _ := json.Marshal(body)
		for i := range to {
			status, _, err := call(http.MethodPut, to[(n+i)%len(to)].controlPlane(), words["instances"]+e.id, data, callTimeout)
			if err == nil && status/100 == 2 {
				break
			}
		}
		time.Sleep(heartbeatInterval)
	}
}

func (e *modelEngine) serve(w http.ResponseWriter, r *http.Request) {
	e.awaitThaw()
	n, _ := strconv.Atoi(r.URL.Query().Get(words["pieceNumber"]))
	switch r.URL.Path {
	case "/health":
		w.Header().Set(words["instance"], e.id)
	case words["report"]:
		e.report(w)
	case words["order"]:
		e.order(w, r)
	case words["stagePut"] + modelID:
		data, _ := io.ReadAll(r.Body)
		e.mu.Lock()
		e.stage[n] = &staged{data: data}
		e.readBack = 0
		e.mu.Unlock()
	case words["stageGet"] + modelID:
		e.read(w, n)
	default:
		e.run(w, r)
	}
}

func (e *modelEngine) report(w http.ResponseWriter) {
	e.mu.Lock()
	body := e.held()
	body["busy"], body["sequenceNumber"], body["queuedRequests"], body["activeRequests"] = e.busy, e.orders, 0, e.active
	body["kvInUse"], body["kvCapacity"], body["kvHandles"], body["pace"] = 0, 1640000, 0, 1.0
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, body)
}

func (e *modelEngine) read(w http.ResponseWriter, n int) {
	e.mu.Lock()
	p := e.stage[n]
	e.readBack++
	verified := e.onVerified
	if e.readBack < pieces || bytes.Equal(e.stage[0].data, pieceOf(e.version, 0)) {
		verified = nil
	} else {
		e.onVerified = nil
	}
	e.mu.Unlock()
	if p == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(p.data)
	if verified != nil {
		e.site.rec.add("engine %s: all %d pieces were read back", e.id, pieces)
		go verified()
	}
}

// order starts the load of the staged data as it is now.
func (e *modelEngine) order(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Operation    string `json:"operation"`
		Version      int64  `json:"version"`
		Precondition *int64 `json:"precondition"`
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	e.mu.Lock()
	status := http.StatusAccepted
	switch {
	case in.Operation != "start":
		status = http.StatusBadRequest
	case in.Version == e.version && !e.busy:
		status = http.StatusOK
	case e.busy || in.Precondition != nil && *in.Precondition != e.orders:
		status = http.StatusConflict
	}
	lost := e.losesAnswer && status == http.StatusAccepted
	if status == http.StatusAccepted {
		e.losesAnswer = false
		e.orders++
		e.busy = true
		e.spoilt = e.findSpoilt(in.Version)
		time.AfterFunc(loadTime, func() {
			e.mu.Lock()
			e.version, e.busy = in.Version, false
			e.mu.Unlock()
			e.site.rec.add("engine %s holds version %d", e.id, in.Version)
		})
	}
	e.site.rec.add("engine %s gets the order to load version %d: %d, answer lost %v, spoilt pieces: %q", e.id, in.Version, status, lost, e.spoilt)
	e.mu.Unlock()
	if lost {
		<-r.Context().Done()
		return
	}
	writeJSON(w, status, object{})
}

// findSpoilt names the pieces that are not those of the version, unless they turned
// bad in the last 3 s. The caller holds mu.
func (e *modelEngine) findSpoilt(version int64) string {
	out := ""
	for n := range pieces {
		p := e.stage[n]
		switch {
		case p == nil:
			out += fmt.Sprintf("piece %d is missing; ", n)
		case bytes.Equal(p.data, pieceOf(version, n)):
		case time.Since(p.badSince) > 3*time.Second:
			out += fmt.Sprintf("piece %d is bad for %.2f s; ", n, time.Since(p.badSince).Seconds())
		}
	}
	return out
}

// run answers a request with a stream of a few events.
func (e *modelEngine) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(words["attempt"])
	w.Header().Set(words["attempt"], id)
	_, _ = io.Copy(io.Discard, r.Body)
	e.mu.Lock()
	expected, busy := r.Header.Get(words["expectedInstance"]), e.busy
	want := r.Header.Get(words["expectedVersion"])
	misdirected := expected != "" && expected != e.id || want != "" && want != strconv.FormatInt(e.version, 10)
	if !busy && !misdirected {
		e.active++
		e.runs++
		if e.spoilt != "" {
			e.spoiltRuns++
		}
		e.site.rec.add("engine %s runs %s on version %d, spoilt: %q", e.id, id, e.version, e.spoilt)
	}
	version := e.version
	e.mu.Unlock()
	if busy || misdirected {
		w.Header().Set(words["notRun"], "1")
		w.WriteHeader(map[bool]int{true: http.StatusServiceUnavailable, false: http.StatusMisdirectedRequest}[busy && !misdirected])
		return
	}
	defer func() {
		e.mu.Lock()
		e.active--
		e.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(words["signature"], "s."+id)
	w.Header().Set(words["servedVersions"], strconv.FormatInt(version, 10))
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= 3; n++ {
		time.Sleep(30 * time.Millisecond)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, id, n)
		_ = http.NewResponseController(w).Flush()
	}
}

func (e *modelEngine) counts() (version int64, runs, spoiltRuns int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version, e.runs, e.spoiltRuns
}
