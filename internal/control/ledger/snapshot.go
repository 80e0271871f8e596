package ledger

import (
	"strconv"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"egretproxy/internal/control/view"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/errwrap"
)

// snapshot is the encoded form of a ledger.
type snapshot struct {
	View     view.View
	Now      int64
	Requests []storedAnswer
	Claims   []Claim
}

// Snapshot encodes the whole ledger.
func (l *Ledger) Snapshot() ([]byte, error) {
	l.init()
	out := snapshot{View: l.view, Now: l.now, Claims: l.claims.list()}
	for _, r := range l.requestOrder {
		out.Requests = append(out.Requests, l.requests[r])
	}
	data, err := cbor.Marshal(out)
	return data, errwrap.Wrap(err, "encode ledger")
}

// Restore replaces the ledger by an encoded one. Empty data stands for the
// state before the first change.
func (l *Ledger) Restore(data []byte) error {
	*l = Ledger{}
	if len(data) == 0 {
		return nil
	}
	var in snapshot
	if err := cbor.Unmarshal(data, &in); err != nil {
		return errors.Wrap(err, "decode ledger")
	}
	l.view = in.View
	l.now = in.Now
	l.init()
	for _, p := range in.Requests {
		l.requests[p.Request] = p
		l.requestOrder = append(l.requestOrder, p.Request)
	}
	for _, c := range in.Claims {
		l.claims.put(c)
	}
	return nil
}

func formatVersion(v id.Version) string {
	return strconv.FormatUint(uint64(v), 10)
}
