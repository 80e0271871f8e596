package replica

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"egretproxy/internal/agreement/record"
)

// sentMessages is a transport that keeps what is sent.
type sentMessages []record.Message

func (s *sentMessages) Send(_ record.Member, m record.Message) { *s = append(*s, m) }

// TestHoldsSyncingFollowerAnswersItsLeaderOnly guards against a response, with the round
// of another leader or term, that would confirm a read of the present one.
func TestHoldsSyncingFollowerAnswersItsLeaderOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var sent sentMessages
		s := syncWait{transport: &sent}
		response := record.Message{Kind: record.AppendResponse, From: "a", To: "c", Term: 4, Index: 7}
		request := record.Message{Kind: record.AppendRequest, From: "c", To: "a", Term: 4, Round: 12}
		s.begin(nil, &envelope{Message: response})
		s.respond(request)
		time.Sleep(syncHeartbeat)
		for _, change := range []func(*record.Message){
			func(m *record.Message) { m.Kind = record.SnapshotRequest },
			func(m *record.Message) { m.From = "b" },
			func(m *record.Message) { m.To = "a-before" },
			func(m *record.Message) { m.Term = 3 },
		} {
			m := request
			change(&m)
			s.respond(m)
		}
		if len(sent) > 0 {
			t.Errorf("sent too early, or to another member: %+v", sent)
		}
		s.respond(request)
		response.Round = request.Round
		if diff := cmp.Diff(sentMessages{response}, sent); diff != "" {
			t.Errorf("response to the leader (-want +got):\n%s", diff)
		}
		s.end()
		s.respond(request)
		if len(sent) != 1 {
			t.Errorf("%d responses after the sync, want 1", len(sent))
		}
	})
}
