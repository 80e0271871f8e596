package system_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"egretproxy/internal/standin/loadgen"
	"egretproxy/internal/standin/simengine"
	"egretproxy/internal/standin/simservice"
	"egretproxy/internal/standin/textgen"
	"egretproxy/internal/wire/header"
)

func randomWeights(seed uint64, size int) []byte {
	random := rand.New(rand.NewPCG(seed, 5))
	out := make([]byte, size)
	for i := range out {
		out[i] = byte(random.Uint32())
	}
	return out
}

// runLoad sends requests to the entries while during runs and returns the counts
// of their outcomes. rate is in requests per second, and nonIdempotentShare is
// the share of the requests that must run at most once.
func (f *fleet) runLoad(rate, nonIdempotentShare float64, entries []string, during func()) loadgen.Counts {
	cfg := loadgen.Config{
		Keys: []string{"key-of-huts"}, Model: "guide", Rate: rate, NonIdempotentShare: nonIdempotentShare,
		StreamShare: 0.7, MaxTokens: 20, PrefixCount: 5, Seed: 9, Resend: true,
	}
	for _, entry := range entries {
		cfg.Entries = append(cfg.Entries, "http://"+f.addresses[entry])
	}
	ctx, cancel := context.WithCancel(context.Background())
	var counts loadgen.Counts
	done := make(chan struct{})
	go func() {
		defer close(done)
		counts = loadgen.New(cfg).Run(ctx)
	}()
	during()
	cancel()
	<-done
	return counts
}

// TestHoldsVersionsNeverMixAndPlannedStopsCutNothing supersedes a bundle while
// requests arrive, then stops an entry and an agent with SIGTERM. It guards
// against answers with parts from two versions, against requests cut off by
// graceful stops, and against engines that receive more requests than their
// limit.
func TestHoldsVersionsNeverMixAndPlannedStopsCutNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	f.addOrigin()
	for i := range 4 {
		f.addEngine(fmt.Sprintf("engine-%d", i), fmt.Sprintf("d%d", i%2))
	}
	f.addEntry("entry-0")
	f.addEntry("entry-1")
	firstWeights := randomWeights(1, 1<<20)
	f.createBundle("v1", firstWeights)
	f.createBundle("v2", append(firstWeights[:1<<19:1<<19], randomWeights(2, 1<<19)...))
	f.mustRunOperator("bundle", "roll", "v1", "--operator", "test", "--no-wait")
	f.waitServing(4)
	counts := f.runLoad(30, 0, []string{"entry-0", "entry-1"}, func() {
		time.Sleep(time.Second)
		f.mustRunOperator("bundle", "supersede", "v1", "v2", "--operator", "test", "--no-wait")
		f.mustRunOperator("bundle", "status", "--follow")
		f.signal("entry-1", syscall.SIGTERM)
		f.signal("agent-engine-3", syscall.SIGTERM)
		f.waitExit("entry-1")
		f.waitExit("agent-engine-3")
		time.Sleep(time.Second)
	})
	t.Logf("%+v", counts)
	if counts.Mixed+counts.Wrong+counts.CutOff+counts.OutcomeUnknown > 0 {
		t.Errorf("mixed %d, wrong %d, cut off %d, unknown %d", counts.Mixed, counts.Wrong, counts.CutOff, counts.OutcomeUnknown)
	}
	if counts.Versions["v1"] == 0 || counts.Versions["v2"] == 0 {
		t.Errorf("answers by version: %v, want answers from v1 and v2", counts.Versions)
	}
	for i := range 4 {
		var engineCounts simengine.Counts
		f.getJSON(fmt.Sprintf("engine-%d", i), "/counts", &engineCounts)
		if engineCounts.Overloads > 0 || engineCounts.FellOver > 0 {
			t.Errorf("engine-%d received %d requests over its limit", i, engineCounts.Overloads)
		}
	}
}

// TestHoldsWithdrawnDomainBehindSilentPartition partitions the agent of a failure
// domain from all keepers without closing its connections, withdraws the domain,
// and sends requests directly to the agent, as an entry with an outdated view
// would. From 3 s after the withdrawal, the agent must refuse them, because its
// lease has expired.
func TestHoldsWithdrawnDomainBehindSilentPartition(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	keeperAddresses := f.keepers
	var proxies []*tcpProxy
	var proxyAddresses []string
	for _, keeper := range keeperAddresses {
		proxy := newTCPProxy(t, keeper)
		proxies = append(proxies, proxy)
		proxyAddresses = append(proxyAddresses, proxy.address())
	}
	f.keepers = proxyAddresses
	f.addOrigin()
	f.addService("inventory-0", "d1")
	f.keepers = keeperAddresses
	f.waitServing(1)
	dispatch := func() int {
		req, _ := http.NewRequest(http.MethodGet, "http://"+f.addresses["agent-inventory-0"]+"/dispatch/inventory/ropes", nil)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0
		}
		defer func() { _ = resp.Body.Close() }()
		return resp.StatusCode
	}
	f.waitUntil("agent accepts work", func() bool { return dispatch() == http.StatusOK })
	for _, proxy := range proxies {
		proxy.setBlackhole(true)
	}
	f.mustRunOperator("domain", "withdraw", "d1", "--operator", "test", "--no-wait")
	time.Sleep(3 * time.Second)
	var before, after simservice.Counts
	f.getJSON("inventory-0", "/counts", &before)
	for range 20 {
		if status := dispatch(); status != http.StatusServiceUnavailable {
			t.Fatalf("a withdrawn target behind a partition answered with status %d", status)
		}
	}
	f.getJSON("inventory-0", "/counts", &after)
	if after.Requests != before.Requests {
		t.Errorf("%d requests reached a withdrawn target", after.Requests-before.Requests)
	}
	for _, proxy := range proxies {
		proxy.setBlackhole(false)
	}
	f.mustRunOperator("domain", "return", "d1", "--operator", "test", "--no-wait")
	f.waitUntil("agent accepts work again", func() bool { return dispatch() == http.StatusOK })
}

// TestHoldsOnceUnderKills sends requests that must run at most once and resends
// unanswered ones through the other entry, while randomly chosen entries,
// keepers (also the leader) and the agent are killed and restarted, or
// suspended. It guards against requests that run twice and against refusals that
// wrongly report NotRun.
func TestHoldsOnceUnderKills(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.addOrigin()
	f.addService("inventory-0", "d0")
	f.addEntry("entry-0")
	f.addEntry("entry-1")
	f.waitServing(1)
	random := rand.New(rand.NewPCG(3, 3))
	victims := []string{"entry-0", "entry-1", "keeper-0", "keeper-1", "keeper-2", "agent-inventory-0"}
	counts := f.runLoad(40, 1, []string{"entry-0", "entry-1"}, func() {
		for range 8 {
			time.Sleep(time.Duration(300+random.IntN(700)) * time.Millisecond)
			victim := victims[random.IntN(len(victims))]
			if random.IntN(3) == 0 {
				f.signal(victim, syscall.SIGSTOP)
				time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
				f.signal(victim, syscall.SIGCONT)
				continue
			}
			f.kill(victim)
			f.restart(victim)
		}
		time.Sleep(3 * time.Second)
	})
	var serviceCounts simservice.Counts
	f.getJSON("inventory-0", "/counts", &serviceCounts)
	t.Logf("requests %d, answered %d, not run %d, unknown %d, reasons %v",
		counts.Requests, counts.Answered, counts.RefusedNotRun, counts.OutcomeUnknown, counts.Reasons)
	if serviceCounts.RanTwice > 0 {
		t.Errorf("%d records were written twice", serviceCounts.RanTwice)
	}
	for _, record := range counts.NotRun {
		if serviceCounts.Runs[record] > 0 {
			t.Errorf("%s was refused as not run, but ran", record)
		}
	}
	for _, record := range counts.Done {
		if serviceCounts.Runs[record] != 1 {
			t.Errorf("%s was answered, but ran %d times", record, serviceCounts.Runs[record])
		}
	}
	if counts.Wrong > 0 || counts.Answered == 0 {
		t.Errorf("wrong %d, answered %d", counts.Wrong, counts.Answered)
	}
}

// retireRecord sends a request to retire record through an entry, with the record
// as its idempotency key. It returns status 0 if no response arrives.
func (f *fleet) retireRecord(entry, record string) (status int, outcome string) {
	req, _ := http.NewRequest(http.MethodPost, "http://"+f.addresses[entry]+"/inventory/retire",
		bytes.NewReader([]byte(fmt.Sprintf(`{"Record": %q}`, record))))
	req.Header.Set("Authorization", "Bearer key-of-huts")
	req.Header.Set(header.IdempotencyKey, record)
	req.GetBody = nil
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get(header.Outcome)
}

// TestHoldsResendRunsOnce resends a slow request through the other entry while
// it runs, after its entry was killed, after its agent was killed, and after it
// was answered. The request must run once. A resend during its run may neither
// succeed nor report NotRun, and the first attempt may not report NotRun.
func TestHoldsResendRunsOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.addOrigin()
	f.addSlowService("inventory-0", "d0")
	f.addEntry("entry-0")
	f.addEntry("entry-1")
	f.waitServing(1)
	f.waitUntil("a record is retired", func() bool { status, _ := f.retireRecord("entry-0", "first"); return status == http.StatusOK })
	runs := func(record string) int {
		var counts simservice.Counts
		f.getJSON("inventory-0", "/counts", &counts)
		return counts.Runs[record]
	}
	cases := []struct {
		record string
		fault  func()
	}{
		{"while it runs", func() {}},
		{"entry killed", func() { f.kill("entry-0") }},
		{"agent killed", func() { f.kill("agent-inventory-0") }},
	}
	for _, c := range cases {
		done := make(chan string, 1)
		go func() {
			_, outcome := f.retireRecord("entry-0", c.record)
			done <- outcome
		}()
		f.waitUntil("the request is running", func() bool { return runs(c.record) == 1 })
		c.fault()
		if status, outcome := f.retireRecord("entry-1", c.record); status == http.StatusOK || outcome == "NotRun" {
			t.Errorf("%s: the resend got %d %q while the first attempt ran", c.record, status, outcome)
		}
		if outcome := <-done; outcome == "NotRun" {
			t.Errorf("%s: the first attempt was refused as not run, but ran", c.record)
		}
		for _, name := range []string{"entry-0", "agent-inventory-0"} {
			if f.running[name] == nil {
				f.restart(name)
			}
		}
		f.waitServing(1)
		time.Sleep(4 * time.Second)
		status, outcome := f.retireRecord("entry-1", c.record)
		t.Logf("%s: a late resend got %d %q", c.record, status, outcome)
		if n := runs(c.record); n != 1 {
			t.Errorf("%s: ran %d times", c.record, n)
		}
	}
}

// TestHoldsAcceptedConfigurationNeverReverts applies policies while leaders are
// killed, and wipes the disk of one keeper. Each accepted policy must be in force
// with a higher version than the one before, and the last one at the end.
func TestHoldsAcceptedConfigurationNeverReverts(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	last := 0
	accepted := 0
	for i := 1; i <= 9; i++ {
		file := fmt.Sprintf("%s/policy-%d.json", f.dir, i)
		writeFile(t, file, fmt.Sprintf(`{"Organisations": {"huts": {"Weight": %d}}}`, i))
		request := fmt.Sprintf("request-%d", i)
		var out string
		var err error
		f.waitUntil("policy is accepted", func() bool {
			out, err = f.runOperator("config", "apply", file, "--operator", "test", "--no-wait", "--request", request, "--based-on", fmt.Sprint(last))
			return err == nil
		})
		status, err := f.status()
		for err != nil {
			status, err = f.status()
		}
		if weight := status.View.Policy.Organisations["huts"].Weight; weight != i {
			t.Fatalf("policy %d was accepted (%s), but policy %d is in force", i, out, weight)
		}
		if int(status.View.Policy.Author.Version) <= last {
			t.Fatalf("policy version did not increase: %d, then %d", last, status.View.Policy.Author.Version)
		}
		last = int(status.View.Policy.Author.Version)
		accepted++
		if i%3 == 0 {
			leader := f.leader()
			f.kill(leader)
			if i == 6 {
				removeAll(t, f.dir+"/"+leader)
			}
			f.restart(leader)
		}
	}
	f.waitUntil("the keepers are three voters again", func() bool {
		status, err := f.status()
		if err != nil {
			return false
		}
		voters := 0
		for _, member := range status.Members {
			if member.Voter {
				voters++
			}
		}
		return voters == 3 && len(status.Members) == 3
	})
	status, err := f.status()
	if err != nil {
		t.Fatal(err)
	}
	if weight := status.View.Policy.Organisations["huts"].Weight; weight != accepted {
		t.Errorf("policy %d was accepted last, but policy %d is in force", accepted, weight)
	}
}

// TestHoldsOldSessionStops starts a second agent for a target while the first
// still runs, as when the agent moves to another process. The two must never
// accept work at the same time, and the first must not accept any after the
// second has begun.
func TestHoldsOldSessionStops(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	f.addOrigin()
	f.addService("inventory-0", "d0")
	f.waitServing(1)
	first := f.addresses["agent-inventory-0"]
	f.mu.Lock()
	oldProcess := f.running["agent-inventory-0"]
	delete(f.running, "agent-inventory-0")
	f.mu.Unlock()
	defer func() { _ = oldProcess.Process.Kill(); _ = oldProcess.Wait() }()
	f.addAgent("inventory-0", "d0", fmt.Sprintf(`{"ID": "inventory-0", "Address": "service://%s", "Service": "inventory", "Slots": 16, "ColdSlots": 16}`, f.addresses["inventory-0"]))
	second := f.addresses["agent-inventory-0"]
	overlaps := 0
	f.waitUntil("only the second agent accepts work", func() bool {
		firstAccepts, secondAccepts := acceptsWork(first), acceptsWork(second)
		if firstAccepts && secondAccepts {
			overlaps++
		}
		return secondAccepts && !firstAccepts
	})
	for range 150 {
		if acceptsWork(first) {
			overlaps++
		}
		time.Sleep(20 * time.Millisecond)
	}
	if overlaps > 0 {
		t.Errorf("the old agent accepted work %d times during or after the takeover", overlaps)
	}
}

// TestHoldsTakeoverWaitsForOldLease partitions the agent of a target from the
// keepers, so that it can't learn that it is replaced, and starts a second one. It
// guards against two agents that accept work at once: the second must wait until
// the lease of the first has expired.
func TestHoldsTakeoverWaitsForOldLease(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	proxy := newTCPProxy(t, f.keepers[0])
	direct := f.keepers
	f.keepers = []string{proxy.address()}
	f.addOrigin()
	f.addService("inventory-0", "d0")
	f.keepers = direct
	f.waitServing(1)
	first := f.addresses["agent-inventory-0"]
	f.waitUntil("the first agent accepts work", func() bool { return acceptsWork(first) })
	proxy.setBlackhole(true)
	f.mu.Lock()
	oldProcess := f.running["agent-inventory-0"]
	delete(f.running, "agent-inventory-0")
	f.mu.Unlock()
	defer func() { _ = oldProcess.Process.Kill(); _ = oldProcess.Wait() }()
	f.addAgent("inventory-0", "d0", fmt.Sprintf(`{"ID": "inventory-0", "Address": "service://%s", "Service": "inventory", "Slots": 16, "ColdSlots": 16}`, f.addresses["inventory-0"]))
	second := f.addresses["agent-inventory-0"]
	f.waitUntil("only the second agent accepts work", func() bool {
		// In this order, a yes of both means that the first accepted work after
		// the second had begun.
		if !acceptsWork(second) {
			return false
		}
		if acceptsWork(first) {
			t.Fatal("the old agent accepted work after the new one had begun")
		}
		return true
	})
}

func acceptsWork(address string) bool {
	resp, err := http.Get("http://" + address + "/dispatch/inventory/ropes")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

// TestHoldsOperatorsRaceAndResend lets two operators apply policies based on the
// same version. One must be refused with the name of the other. The accepted
// change is then resent after the leader was killed, and must get the same
// answer each time.
func TestHoldsOperatorsRaceAndResend(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.waitUntil("a leader is elected", func() bool { return f.leader() != "" })
	var wg sync.WaitGroup
	winners, refusals := make(chan string, 2), make(chan string, 2)
	for i, operator := range []string{"ana", "beat"} {
		wg.Add(1)
		writeFile(t, f.dir+"/"+operator+".json", fmt.Sprintf(`{"Organisations": {"huts": {"Weight": %d}}}`, i+1))
		go func() {
			defer wg.Done()
			out, err := f.runOperator("config", "apply", f.dir+"/"+operator+".json", "--operator", operator, "--request", "of-"+operator, "--based-on", "0", "--no-wait")
			if err == nil {
				winners <- operator
				return
			}
			refusals <- out
		}()
	}
	wg.Wait()
	if len(winners) != 1 || len(refusals) != 1 {
		t.Fatalf("%d of 2 concurrent changes were accepted, want 1", len(winners))
	}
	winner := <-winners
	if text := <-refusals; !bytes.Contains([]byte(text), []byte(winner)) {
		t.Errorf("the refusal does not name operator %s: %s", winner, text)
	}
	f.kill(f.leader())
	first, err := f.runOperator("config", "apply", f.dir+"/"+winner+".json", "--operator", winner, "--request", "of-"+winner, "--based-on", "0", "--no-wait", "--output", "json")
	if err != nil {
		t.Errorf("a resend was refused: %s", first)
	}
	again, _ := f.runOperator("config", "apply", f.dir+"/"+winner+".json", "--operator", winner, "--request", "of-"+winner, "--based-on", "0", "--no-wait", "--output", "json")
	if again != first {
		t.Errorf("resends got different answers: %q and %q", first, again)
	}
}

// streamEvent is an event of a streamed completion.
type streamEvent struct {
	Fingerprint string `json:"system_fingerprint"`
	Choices     []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// openStream requests a streamed completion from an entry.
func (f *fleet) openStream(entry, prompt string, tokens int) *http.Response {
	f.t.Helper()
	body, _ := json.Marshal(map[string]any{"model": "guide", "prompt": prompt, "max_tokens": tokens, "stream": true})
	req, _ := http.NewRequest(http.MethodPost, "http://"+f.addresses[entry]+"/v1/completions", bytes.NewReader(body))
	req.Header.Set("Authorization", "Bearer key-of-huts")
	client := &http.Client{Timeout: conditionTimeout}
	resp, err := client.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = resp.Body.Close() })
	if resp.StatusCode != http.StatusOK {
		f.t.Fatalf("a stream was refused with status %d %s", resp.StatusCode, resp.Header.Get(header.Reason))
	}
	return resp
}

// readEvent returns the data of the next event of a stream, or an error if the
// stream ends without one.
func readEvent(lines *bufio.Scanner) (string, error) {
	for lines.Scan() {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			return data, nil
		}
	}
	return "", errors.Errorf("stream ended: %v", lines.Err())
}

// readStream returns the text of a stream up to its last event. onFirst is called
// once the first event was read.
func readStream(body io.Reader, version string, onFirst func()) (string, error) {
	lines := bufio.NewScanner(body)
	var text strings.Builder
	for events := 0; ; events++ {
		data, err := readEvent(lines)
		if err != nil || data == "[DONE]" {
			return text.String(), err
		}
		var event streamEvent
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return text.String(), errors.Wrap(err, data)
		}
		if event.Fingerprint != version || len(event.Choices) != 1 {
			return text.String(), errors.Errorf("event is not from version %s: %s", version, data)
		}
		text.WriteString(event.Choices[0].Text)
		if events == 0 {
			onFirst()
		}
	}
}

// TestHoldsBrokenStreamsResume kills an engine after the entry has forwarded the
// first event of a long stream from it, under a load of other streams. It guards
// against streams that end early, or with parts of another version or lost or
// repeated parts, when their engine fails.
func TestHoldsBrokenStreamsResume(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	f.addOrigin()
	for i := range 3 {
		f.addEngine(fmt.Sprintf("engine-%d", i), fmt.Sprintf("d%d", i), "--warm-requests", "16")
	}
	f.addEntry("entry-0")
	f.createBundle("v1", randomWeights(1, 1<<18))
	f.mustRunOperator("bundle", "roll", "v1", "--operator", "test", "--no-wait")
	f.mustRunOperator("bundle", "status", "--follow")
	cfg := loadgen.Config{
		Entries: []string{"http://" + f.addresses["entry-0"]}, Keys: []string{"key-of-huts"}, Model: "guide",
		Rate: 4, StreamShare: 1, MaxTokens: 150, PrefixCount: 8, Seed: 4,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan loadgen.Counts)
	go func() { done <- loadgen.New(cfg).Run(ctx) }()
	f.waitUntil("streams are running", func() bool {
		running := 0
		for i := range 3 {
			// The counts are current; the load in an engine's status is a report
			// of 500 ms before and may show a warm-up request.
			var counts simengine.Counts
			f.getJSON(fmt.Sprintf("engine-%d", i), "/counts", &counts)
			running += counts.Requests - counts.Answered - counts.Cancelled
		}
		return running >= 3
	})
	// At 10 ms a token, the stream would last for 10 s.
	const prompt, tokens = "How long is the rope?", 1000
	resp := f.openStream("entry-0", prompt, tokens)
	victim := resp.Header.Get(header.Target)
	text, err := readStream(resp.Body, "v1", func() { f.kill(victim) })
	if want := textgen.Answer("v1", fmt.Sprintf("%q", prompt), tokens); err != nil || text != want {
		t.Errorf("the stream of the killed %s ended with error %v, its text is whole: %t", victim, err, text == want)
	}
	cancel()
	counts := <-done
	t.Logf("%+v", counts)
	if counts.Answered != counts.Requests || counts.Requests == 0 {
		t.Errorf("%d of %d streams were complete", counts.Answered, counts.Requests)
	}
	if n := f.sumMetric("entry-0", `event="Retry"`); n == 0 {
		t.Error("no stream was resumed, so the test checked nothing")
	}
}

// TestHoldsBadVersionHaltsRollout supersedes a bundle with one that no engine
// can load. The rollout must halt by itself, and the engines that it has not
// switched must keep serving the previous bundle. The test waits until all
// engines serve that bundle.
func TestHoldsBadVersionHaltsRollout(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	f.addOrigin()
	for i := range 3 {
		f.addEngine(fmt.Sprintf("engine-%d", i), fmt.Sprintf("d%d", i), "--fail-load", "v2")
	}
	f.createBundle("v1", randomWeights(1, 1<<18))
	f.createBundle("v2", randomWeights(2, 1<<18))
	f.mustRunOperator("bundle", "roll", "v1", "--operator", "test", "--no-wait")
	f.mustRunOperator("bundle", "status", "--follow")
	f.mustRunOperator("bundle", "supersede", "v1", "v2", "--operator", "test", "--no-wait")
	out, err := f.runOperator("bundle", "status", "--follow")
	if err == nil || !strings.Contains(out, "halted") {
		t.Fatalf("rollout of a bundle that fails to load ended with error %v, want a halted rollout: %s", err, out)
	}
	f.waitUntil("all engines serve v1", func() bool {
		status, err := f.status()
		if err != nil {
			return false
		}
		serving := 0
		for _, target := range status.View.Targets {
			if target.Phase == "Serving" && target.Installed.Bundle == "v1" {
				serving++
			}
		}
		return serving == 3
	})
	f.mustRunOperator("bundle", "supersede", "v2", "v1", "--operator", "test", "--no-wait")
}

// TestRefusalStatusReasonAndOutcome sends invalid requests, and one without a
// target, and checks the status, reason and outcome of the refusals.
func TestRefusalStatusReasonAndOutcome(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	f.addEntry("entry-0")
	cases := []struct {
		name, method, path, key, body string
		status                        int
		reason                        string
	}{
		{"unknown organisation", http.MethodPost, "/v1/completions", "wrong", "{}", 401, "UnknownOrganisation"},
		{"malformed JSON", http.MethodPost, "/v1/completions", "key-of-huts", "{", 400, "BadRequest"},
		{"unknown model", http.MethodPost, "/v1/completions", "key-of-huts", `{"model": "no"}`, 404, "UnknownModel"},
		{"unknown path", http.MethodGet, "/v2", "key-of-huts", "", 404, "UnknownRoute"},
		{"wrong method", http.MethodDelete, "/v1/completions", "key-of-huts", "", 405, "MethodNotAllowed"},
		{"no target", http.MethodGet, "/inventory/ropes", "key-of-huts", "", 503, "NoTarget"},
		{"body too large", http.MethodPost, "/v1/completions", "key-of-huts", string(make([]byte, 9<<20)), 413, "BodyTooLarge"},
	}
	for _, c := range cases {
		req, _ := http.NewRequest(c.method, "http://"+f.addresses["entry-0"]+c.path, bytes.NewReader([]byte(c.body)))
		req.Header.Set("Authorization", "Bearer "+c.key)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode != c.status || resp.Header.Get(header.Reason) != c.reason || resp.Header.Get(header.Outcome) != "NotRun" {
			t.Errorf("%s: got %d %s %s, want %d %s NotRun", c.name, resp.StatusCode, resp.Header.Get(header.Reason), resp.Header.Get(header.Outcome), c.status, c.reason)
		}
	}
}
