package replica

import (
	"sync"
	"time"

	"egretproxy/internal/agreement/raft"
	"egretproxy/internal/agreement/record"
)

const (
	// syncHeartbeat is the time between the heartbeats of a leader whose disk syncs. A
	// shorter sync needs none.
	syncHeartbeat = raft.DefaultHeartbeatTicks * DefaultTick
	// syncPatience is how long a member takes part in heartbeats during one sync.
	// Operators give up an order after a second, so that a leader whose disk needs longer
	// makes way for another one, and a follower counts as silent.
	syncPatience = raft.MaxSyncTicks * DefaultTick
)

// envelope is a message with the member that it is for.
type envelope struct {
	to record.Member
	record.Message
}

// syncWait sends the heartbeats and responses of a member whose goroutine waits for its
// disk. It is safe for concurrent use and calls the transport without its lock.
type syncWait struct {
	transport Transport

	mu sync.Mutex
	// began is the time at which the sync in progress began. It is zero without one.
	began time.Time
	// heartbeats are those of a leader.
	heartbeats []envelope
	// response is that of a follower, or nil.
	response *envelope
	// timer sends the next heartbeats.
	timer *time.Timer
}

// begin starts a sync with what the member may send meanwhile.
func (s *syncWait) begin(heartbeats []envelope, response *envelope) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.began, s.heartbeats, s.response = time.Now(), heartbeats, response
	if len(heartbeats) == 0 {
		return
	}
	if s.timer == nil {
		s.timer = time.AfterFunc(syncHeartbeat, s.beat)
		return
	}
	s.timer.Reset(syncHeartbeat)
}

func (s *syncWait) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.began, s.heartbeats, s.response = time.Time{}, nil, nil
	if s.timer != nil {
		s.timer.Stop()
	}
}

// beat sends the heartbeats and prepares the next ones.
func (s *syncWait) beat() {
	for _, e := range s.nextHeartbeats() {
		s.transport.Send(e.to, e.Message)
	}
}

func (s *syncWait) nextHeartbeats() []envelope {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.began.IsZero() || time.Since(s.began) > syncPatience {
		return nil
	}
	s.timer.Reset(syncHeartbeat)
	return s.heartbeats
}

// respond sends the response to a message if it is an append of the leader that the member
// follows. The member handles the message itself after the sync.
func (s *syncWait) respond(m record.Message) {
	if e, ok := s.responseTo(m); ok {
		s.transport.Send(e.to, e.Message)
	}
}

func (s *syncWait) responseTo(m record.Message) (envelope, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	took := time.Since(s.began)
	if s.response == nil || m.Kind != record.AppendRequest || m.From != s.response.To || m.Term != s.response.Term ||
		m.To != s.response.From || took < syncHeartbeat || took > syncPatience {
		return envelope{}, false
	}
	out := *s.response
	out.Round = m.Round
	return out, true
}
