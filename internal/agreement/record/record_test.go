package record_test

import (
	"encoding/hex"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"egretproxy/internal/agreement/record"
)

// olderSnapshot is a snapshot as written before members had a generation.
const olderSnapshot = "a465496e64657807645465726d036a4d656d62657273686970a1674d656d6265727382a462494467612d6669727374644e61" +
	"6d65616167416464726573736b3139322e302e322e313a3165566f746572f5a462494466622d30303131644e616d65616267" +
	"416464726573736b3139322e302e322e323a3165566f746572f46444617461457374617465"

// TestOlderSnapshotLoads guards against a change of the stored format that would
// make keepers fail to load their disks after an update.
func TestOlderSnapshotLoads(t *testing.T) {
	data, err := hex.DecodeString(olderSnapshot)
	if err != nil {
		t.Fatal(err)
	}
	var got record.Snapshot
	if err := cbor.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	want := record.Snapshot{Index: 7, Term: 3, Membership: record.Membership{Members: []record.Member{
		{ID: "a-first", Name: "a", Address: "192.0.2.1:1", Voter: true},
		{ID: "b-0011", Name: "b", Address: "192.0.2.2:1"},
	}}, Data: []byte("state")}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("snapshot (-want +got):\n%s", diff)
	}
	again, err := cbor.Marshal(got)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(olderSnapshot, hex.EncodeToString(again)); diff != "" {
		t.Errorf("encoding without a generation changed (-before +after):\n%s", diff)
	}
}

// TestGenerationIsStored guards against a replacement that a later leader can't
// finish, since it does not know which member is the newer one.
func TestGenerationIsStored(t *testing.T) {
	var m record.Membership
	for _, k := range []record.Member{{ID: "a-first", Name: "a"}, {ID: "a-1", Name: "a", Generation: 4}, {ID: "b-first", Name: "b"}} {
		m = m.With(k)
	}
	m = m.With(record.Member{ID: "a-2", Name: "a", Generation: m.NextGeneration("a")})
	data, err := cbor.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	var got record.Membership
	if err := cbor.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(m, got); diff != "" {
		t.Errorf("membership (-want +got):\n%s", diff)
	}
	if c, _ := got.Find("a-2"); c.Generation != 5 {
		t.Errorf("generation is %d, want 5", c.Generation)
	}
}
