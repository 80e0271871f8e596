package suspicion

import (
	"time"

	"k8s.io/klog/v2"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/request/digest"
	"egretproxy/internal/site/evidence"
)

// announced returns the suspects of which entries are told.
func announced(found []*suspicion) []*suspicion {
	var out []*suspicion
	parts := 0
	for _, s := range found {
		if !digest.IsDigest(s.part) {
			if parts++; parts > maxSuspects {
				break
			}
		}
		out = append(out, s)
	}
	return out
}

// updateSuspects takes over the suspects and wakes waiters if there are others than
// before. The caller holds mu.
func (j *Judge) updateSuspects(now time.Time, found []*suspicion) {
	old := j.suspects
	j.suspects = map[id.PromptPart]time.Time{}
	changed := len(found) != len(old)
	for _, s := range found {
		since, known := old[s.part]
		if !known {
			since, changed = now, true
		}
		j.suspects[s.part] = since
	}
	if !changed {
		return
	}
	j.announced = announced(found)
	if now.Sub(j.loggedAt) >= logInterval {
		j.loggedAt = now
		klog.InfoS("Suspected parts of prompts and requests have changed", "Suspects", len(found), "Ends", len(j.ends))
	}
	j.position++
	j.changed.Send()
}

// Suspects returns the suspects, those with most ends first, and the position of
// this answer.
func (j *Judge) Suspects() ([]evidence.Suspect, uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []evidence.Suspect
	for _, s := range j.announced {
		out = append(out, evidence.Suspect{Part: s.part, AgeMs: time.Since(s.since).Milliseconds()})
	}
	return out, j.position
}

// Position returns the position of the suspects.
func (j *Judge) Position() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.position
}

// Changed returns a channel that is closed when the suspects change.
func (j *Judge) Changed() <-chan struct{} {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.changed.Next()
}
