package system_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"egretproxy/internal/standin/loadgen"
	"egretproxy/internal/standin/simengine"
	"egretproxy/internal/standin/simservice"
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

// runLoad sends requests while f runs and returns what became of them.
func (f *fleet) runLoad(rate, once float64, entries []string, during func()) loadgen.Counts {
	c := loadgen.Config{
		Keys: []string{"key-of-huts"}, Model: "guide", Rate: rate, NonIdempotentShare: once,
		StreamShare: 0.7, MaxTokens: 20, PrefixCount: 5, Seed: 9, Resend: true,
	}
	for _, e := range entries {
		c.Entries = append(c.Entries, "http://"+f.addresses[e])
	}
	ctx, cancel := context.WithCancel(context.Background())
	var out loadgen.Counts
	done := make(chan struct{})
	go func() {
		defer close(done)
		out = loadgen.New(c).Run(ctx)
	}()
	during()
	cancel()
	<-done
	return out
}

// TestHoldsVersionsNeverMix rolls a bundle and supersedes it while requests
// arrive, then stops an entry and an agent by plan.
func TestHoldsVersionsNeverMixAndPlannedStopsCutNothing(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	f.addOrigin()
	for i := range 4 {
		f.addEngine(fmt.Sprintf("engine-%d", i), fmt.Sprintf("d%d", i%2))
	}
	f.addEntry("entry-0")
	f.addEntry("entry-1")
	one := randomWeights(1, 1<<20)
	f.createBundle("v1", one)
	f.createBundle("v2", append(one[:1<<19:1<<19], randomWeights(2, 1<<19)...))
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
		t.Errorf("answers came from %v only", counts.Versions)
	}
	for i := range 4 {
		var c simengine.Counts
		f.getJSON(fmt.Sprintf("engine-%d", i), "/counts", &c)
		if c.Overloads > 0 || c.FellOver > 0 {
			t.Errorf("engine-%d was given %d requests too many", i, c.Overloads)
		}
	}
}

// TestHoldsWithdrawnDomainBehindSilentPartition cuts the agents of a failure
// domain off from all keepers without a word, withdraws the domain, and asks
// an agent directly, as an entry that did not hear of it would.
func TestHoldsWithdrawnDomainBehindSilentPartition(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	direct := f.keepers
	var relays []*tcpProxy
	var addresses []string
	for _, k := range direct {
		r := newTCPProxy(t, k)
		relays = append(relays, r)
		addresses = append(addresses, r.address())
	}
	f.keepers = addresses
	f.addOrigin()
	f.addService("inventory-0", "d1")
	f.keepers = direct
	f.waitServing(1)
	ask := func() int {
		r, _ := http.NewRequest(http.MethodGet, "http://"+f.addresses["agent-inventory-0"]+"/dispatch/inventory/ropes", nil)
		w, err := http.DefaultClient.Do(r)
		if err != nil {
			return 0
		}
		defer func() { _ = w.Body.Close() }()
		return w.StatusCode
	}
	f.waitUntil("agent takes work", func() bool { return ask() == http.StatusOK })
	for _, r := range relays {
		r.setBlackhole(true)
	}
	f.mustRunOperator("domain", "withdraw", "d1", "--operator", "test", "--no-wait")
	time.Sleep(3 * time.Second)
	var before, after simservice.Counts
	f.getJSON("inventory-0", "/counts", &before)
	for range 20 {
		if got := ask(); got != http.StatusServiceUnavailable {
			t.Fatalf("a withdrawn target that is cut off answers %d", got)
		}
	}
	f.getJSON("inventory-0", "/counts", &after)
	if after.Requests != before.Requests {
		t.Errorf("%d requests reached a withdrawn target", after.Requests-before.Requests)
	}
	for _, r := range relays {
		r.setBlackhole(false)
	}
	f.mustRunOperator("domain", "return", "d1", "--operator", "test", "--no-wait")
	f.waitUntil("agent takes work again", func() bool { return ask() == http.StatusOK })
}

// TestHoldsOnceUnderKills sends requests that may not be repeated, resends
// those without an answer through the other entry, and kills and restarts
// entries, keepers, the agent and the leader meanwhile.
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
			v := victims[random.IntN(len(victims))]
			if random.IntN(3) == 0 {
				f.signal(v, syscall.SIGSTOP)
				time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
				f.signal(v, syscall.SIGCONT)
				continue
			}
			f.kill(v)
			f.restart(v)
		}
		time.Sleep(3 * time.Second)
	})
	var s simservice.Counts
	f.getJSON("inventory-0", "/counts", &s)
	t.Logf("requests %d, answered %d, not run %d, unknown %d, reasons %v",
		counts.Requests, counts.Answered, counts.RefusedNotRun, counts.OutcomeUnknown, counts.Reasons)
	if s.RanTwice > 0 {
		t.Errorf("%d records were written twice", s.RanTwice)
	}
	for _, r := range counts.NotRun {
		if s.Runs[r] > 0 {
			t.Errorf("%s was refused as not run, but ran", r)
		}
	}
	for _, r := range counts.Done {
		if s.Runs[r] != 1 {
			t.Errorf("%s was answered, but ran %d times", r, s.Runs[r])
		}
	}
	if counts.Wrong > 0 || counts.Answered == 0 {
		t.Errorf("wrong %d, answered %d", counts.Wrong, counts.Answered)
	}
}

// retireRecord sends one record through an entry under its own key.
func (f *fleet) retireRecord(entry, record string) (status int, outcome string) {
	r, _ := http.NewRequest(http.MethodPost, "http://"+f.addresses[entry]+"/inventory/retire",
		bytes.NewReader([]byte(fmt.Sprintf(`{"Record": %q}`, record))))
	r.Header.Set("Authorization", "Bearer key-of-huts")
	r.Header.Set(header.IdempotencyKey, record)
	r.GetBody = nil
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = w.Body.Close() }()
	_, _ = io.Copy(io.Discard, w.Body)
	return w.StatusCode, w.Header.Get(header.Outcome)
}

// TestHoldsResendRunsOnce resends a slow request through the other entry while
// it runs, after its entry was killed, after its agent was killed, and after
// it was answered.
func TestHoldsResendRunsOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.addOrigin()
	f.addSlowService("inventory-0", "d0")
	f.addEntry("entry-0")
	f.addEntry("entry-1")
	f.waitServing(1)
	f.waitUntil("records are taken", func() bool { status, _ := f.retireRecord("entry-0", "first"); return status == http.StatusOK })
	runs := func(record string) int {
		var s simservice.Counts
		f.getJSON("inventory-0", "/counts", &s)
		return s.Runs[record]
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
		f.waitUntil("the request runs", func() bool { return runs(c.record) == 1 })
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

// TestHoldsAcceptedConfigurationNeverReverts applies policies while leaders
// are killed, wipes one keeper's disk, and looks at what remains.
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
		st, err := f.status()
		for err != nil {
			st, err = f.status()
		}
		if got := st.View.Policy.Organisations["huts"].Weight; got != i {
			t.Fatalf("policy %d was accepted (%s), but %d is in force", i, out, got)
		}
		if int(st.View.Policy.Author.Version) <= last {
			t.Fatalf("version went from %d to %d", last, st.View.Policy.Author.Version)
		}
		last = int(st.View.Policy.Author.Version)
		accepted++
		if i%3 == 0 {
			v := f.leader()
			f.kill(v)
			if i == 6 {
				removeAll(t, f.dir+"/"+v)
			}
			f.restart(v)
		}
	}
	f.waitUntil("three voters again", func() bool {
		st, err := f.status()
		if err != nil {
			return false
		}
		voters := 0
		for _, m := range st.Members {
			if m.Voter {
				voters++
			}
		}
		return voters == 3 && len(st.Members) == 3
	})
	st, err := f.status()
	if err != nil {
		t.Fatal(err)
	}
	if got := st.View.Policy.Organisations["huts"].Weight; got != accepted {
		t.Errorf("policy %d was accepted last, but %d is in force", accepted, got)
	}
}

// TestHoldsOldSessionStops starts a second agent for a target, as after a
// move of the agent's process. The first must take no more work.
func TestHoldsOldSessionStops(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	f.addOrigin()
	f.addService("inventory-0", "d0")
	f.waitServing(1)
	first := f.addresses["agent-inventory-0"]
	f.mu.Lock()
	old := f.running["agent-inventory-0"]
	delete(f.running, "agent-inventory-0")
	f.mu.Unlock()
	defer func() { _ = old.Process.Kill(); _ = old.Wait() }()
	f.addAgent("inventory-0", "d0", fmt.Sprintf(`{"ID": "inventory-0", "Address": "service://%s", "Service": "inventory", "Slots": 16, "ColdSlots": 16}`, f.addresses["inventory-0"]))
	second := f.addresses["agent-inventory-0"]
	both := 0
	f.waitUntil("second agent takes work", func() bool {
		a, b := acceptsWork(first), acceptsWork(second)
		if a && b {
			both++
		}
		return b && !a
	})
	for range 150 {
		if acceptsWork(first) {
			both++
		}
		time.Sleep(20 * time.Millisecond)
	}
	if both > 0 {
		t.Errorf("the old agent took work %d times beside the new one", both)
	}
}

func acceptsWork(address string) bool {
	w, err := http.Get("http://" + address + "/dispatch/inventory/ropes")
	if err != nil {
		return false
	}
	defer func() { _ = w.Body.Close() }()
	_, _ = io.Copy(io.Discard, w.Body)
	return w.StatusCode == http.StatusOK
}

// TestHoldsOperatorsRaceAndResend lets two operators apply policies under equal
// versions, and resends one change over a change of leader.
func TestHoldsOperatorsRaceAndResend(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.waitUntil("a leader is there", func() bool { return f.leader() != "" })
	var wg sync.WaitGroup
	won, lost := make(chan string, 2), make(chan string, 2)
	for i, who := range []string{"ana", "beat"} {
		wg.Add(1)
		writeFile(t, f.dir+"/"+who+".json", fmt.Sprintf(`{"Organisations": {"huts": {"Weight": %d}}}`, i+1))
		go func() {
			defer wg.Done()
			out, err := f.runOperator("config", "apply", f.dir+"/"+who+".json", "--operator", who, "--request", "of-"+who, "--based-on", "0", "--no-wait")
			if err == nil {
				won <- who
				return
			}
			lost <- out
		}()
	}
	wg.Wait()
	if len(won) != 1 || len(lost) != 1 {
		t.Fatalf("%d operators won", len(won))
	}
	winner := <-won
	if text := <-lost; !bytes.Contains([]byte(text), []byte(winner)) {
		t.Errorf("the loser was not told of %s: %s", winner, text)
	}
	f.kill(f.leader())
	first, err := f.runOperator("config", "apply", f.dir+"/"+winner+".json", "--operator", winner, "--request", "of-"+winner, "--based-on", "0", "--no-wait", "--output", "json")
	if err != nil {
		t.Errorf("a resend was refused: %s", first)
	}
	again, _ := f.runOperator("config", "apply", f.dir+"/"+winner+".json", "--operator", winner, "--request", "of-"+winner, "--based-on", "0", "--no-wait", "--output", "json")
	if again != first {
		t.Errorf("resends got %q and %q", first, again)
	}
}

// TestHoldsBrokenStreamsResume kills an engine while it streams. Each stream
// must go on at another engine of the same version and end whole.
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
	c := loadgen.Config{
		Entries: []string{"http://" + f.addresses["entry-0"]}, Keys: []string{"key-of-huts"}, Model: "guide",
		Rate: 4, StreamShare: 1, MaxTokens: 150, PrefixCount: 8, Seed: 4,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan loadgen.Counts)
	go func() { done <- loadgen.New(c).Run(ctx) }()
	f.waitUntil("engine-0 streams", func() bool {
		var s simengine.Status
		f.getJSON("engine-0", "/status", &s)
		return s.Running > 0
	})
	f.kill("engine-0")
	time.Sleep(2 * time.Second)
	cancel()
	counts := <-done
	t.Logf("%+v", counts)
	if counts.Answered != counts.Requests || counts.Requests == 0 {
		t.Errorf("%d of %d streams ended whole", counts.Answered, counts.Requests)
	}
	if n := f.sumMetric("entry-0", `event="Retry"`); n == 0 {
		t.Error("no stream was resumed: the test shows nothing")
	}
}

// TestHoldsBadVersionHaltsRollout supersedes a bundle by one that no engine
// can load. The rollout must halt by itself, and the engines that were not
// switched must go on with the bundle in force.
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
		t.Fatalf("the rollout of a bad version ended with %v: %s", err, out)
	}
	f.waitUntil("all engines serve v1", func() bool {
		st, err := f.status()
		if err != nil {
			return false
		}
		n := 0
		for _, t := range st.View.Targets {
			if t.Phase == "Serving" && t.Installed.Bundle == "v1" {
				n++
			}
		}
		return n == 3
	})
	f.mustRunOperator("bundle", "supersede", "v2", "v1", "--operator", "test", "--no-wait")
}

// TestRefusalStatusReasonAndOutcome sends what is wrong in itself.
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
		r, _ := http.NewRequest(c.method, "http://"+f.addresses["entry-0"]+c.path, bytes.NewReader([]byte(c.body)))
		r.Header.Set("Authorization", "Bearer "+c.key)
		w, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		_ = w.Body.Close()
		if w.StatusCode != c.status || w.Header.Get(header.Reason) != c.reason || w.Header.Get(header.Outcome) != "NotRun" {
			t.Errorf("%s: %d %s %s, want %d %s", c.name, w.StatusCode, w.Header.Get(header.Reason), w.Header.Get(header.Outcome), c.status, c.reason)
		}
	}
}
