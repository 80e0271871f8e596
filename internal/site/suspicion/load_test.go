package suspicion

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/site/quarantine"
	"egretproxy/internal/site/witness"
)

// load is a site without a network: entries with a witness each, one keeper, and
// engines that end with some parts or for other reasons.
type load struct {
	random    *rand.Rand
	witnesses []*witness.Witness
	judge     Judge
	verdicts  []quarantine.Verdict
	engines   []*engine

	// guilty are the parts that end engines.
	guilty []id.PromptPart
	// ends counts the engines that ended with each guilty part, refusedSound the
	// sound requests that a verdict shut out, sound all of them.
	ends                map[id.PromptPart]int
	refusedSound, sound int
	// soundVerdicts are the verdicts on parts and requests that end nothing.
	soundVerdicts []quarantine.Verdict
	steps         int
	// sends and crashes are the times at which each deadly request, or one with each
	// guilty part, was sent to an engine, and at which engines ended with it.
	sends, crashes map[id.PromptPart][]time.Time
	// lateEvery is set if one in so many requests with a guilty part ends its engine
	// lateTime after its response began.
	lateEvery int
	// popular is the number of sound requests that come again and again.
	popular int
	// crashing counts the requests with a guilty part.
	crashing int
}

// engine is one incarnation of an engine.
type engine struct {
	id      id.Target
	domain  int
	upAt    time.Time
	running []*promptRequest
}

type promptRequest struct {
	entry    int
	parts    []id.PromptPart
	sentAt   time.Time
	beginsAt time.Time
	begun    bool
	harmless bool
	again    bool
	// late is how long after its beginning the response ends the engine, if it does.
	late time.Duration
	// name tells requests apart. A deadly one ends each engine that runs it.
	name   id.PromptPart
	deadly bool
}

const (
	loadStep     = 10 * time.Millisecond
	loadEngines  = 14
	loadEntries  = 6
	loadReturn   = 2500 * time.Millisecond
	loadRunTime  = time.Second
	loadMaxBegin = 300 * time.Millisecond
	// loadHarmlessTime is how long a response goes on before it shows its parts to be
	// harmless.
	loadHarmlessTime = 250 * time.Millisecond
	lateTime         = 100 * time.Millisecond
)

func newLoad(seed uint64, guilty ...id.PromptPart) *load {
	l := &load{random: rand.New(rand.NewPCG(seed, 1)), guilty: guilty, ends: map[id.PromptPart]int{}}
	l.sends, l.crashes = map[id.PromptPart][]time.Time{}, map[id.PromptPart][]time.Time{}
	for range loadEntries {
		l.witnesses = append(l.witnesses, &witness.Witness{})
	}
	for i := range loadEngines {
		l.engines = append(l.engines, &engine{id: id.Target(fmt.Sprintf("e%d", i)), domain: i % 3})
	}
	return l
}

// drawParts returns the shared parts of a sound request.
func (l *load) drawParts() []id.PromptPart {
	return []id.PromptPart{
		id.PromptPart(fmt.Sprintf("a%d", l.random.IntN(4))), id.PromptPart(fmt.Sprintf("b%d", l.random.IntN(400))),
		id.PromptPart(fmt.Sprintf("c%d", l.random.IntN(20))),
	}
}

// send routes a request to a random engine that is up, unless it is shut out.
func (l *load) send(r *promptRequest) {
	for _, v := range l.verdicts {
		if v.Matches(r.marks()) {
			if l.guiltyPart(r.parts) == "" && !r.deadly {
				l.refusedSound++
			}
			return
		}
	}
	now := time.Now()
	var up []*engine
	for _, e := range l.engines {
		if !now.Before(e.upAt) {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		return
	}
	e := up[l.random.IntN(len(up))]
	r.sentAt = now
	r.beginsAt = now.Add(50*time.Millisecond + time.Duration(l.random.Int64N(int64(loadMaxBegin))))
	e.running = append(e.running, r)
	if p := l.guiltyPart(r.parts); p != "" {
		l.sends[p] = append(l.sends[p], now)
	} else if r.deadly {
		l.sends[r.name] = append(l.sends[r.name], now)
	}
}

func (l *load) guiltyPart(parts []id.PromptPart) id.PromptPart {
	for _, p := range parts {
		if slices.Contains(l.guilty, p) {
			return p
		}
	}
	return ""
}

// end ends an engine. Bystanders whose parts are known to be harmless are sent
// again.
func (l *load) end(e *engine) {
	running := e.running
	e.running = nil
	e.upAt = time.Now().Add(loadReturn)
	for _, r := range running {
		w := l.witnesses[r.entry]
		if r.name != "" {
			w.RequestEnded(e.id, e.upAt.UnixMilli(), r.name, r.sentAt)
		}
		if r.begun {
			if !r.harmless {
				w.EndedBegun(e.id, e.upAt.UnixMilli(), r.parts)
			}
			l.resume(r)
			continue
		}
		w.Ended(e.id, e.upAt.UnixMilli(), r.parts)
		if !r.again && l.guiltyPart(r.parts) == "" && w.Known(r.parts) && l.mayResume(r) {
			r.again = true
			l.send(r)
		}
	}
}

// step lets responses begin, and passes evidence on.
func (l *load) step() {
	now := time.Now()
	for _, e := range l.engines {
		for _, r := range e.running {
			if now.Before(r.beginsAt) {
				continue
			}
			if p := l.guiltyPart(r.parts); p != "" && !now.Before(r.beginsAt.Add(r.late)) {
				l.ends[p]++
				l.crashes[p] = append(l.crashes[p], now)
				l.end(e)
				break
			}
			if r.begun {
				continue
			}
			if r.deadly {
				l.crashes[r.name] = append(l.crashes[r.name], now)
				l.end(e)
				break
			}
			r.begun = true
			l.witnesses[r.entry].Begun(r.parts)
		}
		for _, r := range e.running {
			if r.begun && !r.harmless && now.Sub(r.beginsAt) >= loadHarmlessTime {
				r.harmless = true
				l.witnesses[r.entry].Harmless(r.parts)
			}
		}
		e.running = slices.DeleteFunc(e.running, func(r *promptRequest) bool {
			if !now.After(r.beginsAt.Add(loadRunTime)) {
				return false
			}
			if r.name != "" {
				l.witnesses[r.entry].RequestServed(r.name)
			}
			return true
		})
	}
	for _, w := range l.witnesses {
		report, _ := w.Take()
		if report.Empty() {
			continue
		}
		l.judge.Add(report)
		for _, b := range report.Begun {
			if b.Clears() {
				l.clear(b.Part)
			}
		}
	}
	if l.steps++; l.steps%5 != 0 {
		return
	}
	v, _ := l.judge.Verdict(l.verdicts)
	suspects, _ := l.judge.Suspects()
	since := map[id.PromptPart]time.Time{}
	for _, s := range suspects {
		since[s.Part] = now.Add(-time.Duration(s.AgeMs) * time.Millisecond)
	}
	for _, w := range l.witnesses {
		w.SetSuspects(since)
	}
	if v != nil {
		l.verdicts = append(l.verdicts, *v)
		if !slices.ContainsFunc(v.Parts, func(p id.PromptPart) bool { return slices.Contains(l.guilty, p) || len(l.sends[p]) > 0 }) {
			l.soundVerdicts = append(l.soundVerdicts, *v)
		}
		for _, w := range l.witnesses {
			w.SetVerdicts(l.verdicts)
		}
	}
}

func (l *load) clear(p id.PromptPart) {
	var kept []quarantine.Verdict
	for _, v := range l.verdicts {
		if v = v.Without(p); len(v.Parts) > 0 {
			kept = append(kept, v)
		}
	}
	l.verdicts = kept
}

// run plays sound and crashing requests at rates per second for a time. other is
// called at each step.
func (l *load) run(length time.Duration, sound, crashing float64, place int, other func()) {
	for began := time.Now(); time.Since(began) < length; time.Sleep(loadStep) {
		if l.random.Float64() < sound*loadStep.Seconds() {
			l.sound++
			l.send(&promptRequest{entry: l.random.IntN(loadEntries), parts: l.drawParts(), name: l.drawName()})
		}
		if l.random.Float64() < crashing*loadStep.Seconds() {
			parts := l.drawParts()
			parts[place] = l.guilty[l.random.IntN(len(l.guilty))]
			l.crashing++
			r := &promptRequest{entry: l.random.IntN(loadEntries), parts: parts, name: id.PromptPart(fmt.Sprintf("request:crashing-%d", l.crashing))}
			if l.lateEvery > 0 && l.crashing%l.lateEvery == 0 {
				r.late = lateTime
			}
			l.send(r)
		}
		if other != nil {
			other()
		}
		l.step()
	}
}
