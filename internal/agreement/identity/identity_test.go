package identity_test

import (
	"testing"

	"egretproxy/internal/agreement/faultdisk"
	"egretproxy/internal/agreement/identity"
)

// TestHoldsFullDiskLeavesNoPartOfAnIdentity guards against a keeper that never starts
// again: the part of an identity that a full disk had left was put before the next one.
func TestHoldsFullDiskLeavesNoPartOfAnIdentity(t *testing.T) {
	var d faultdisk.Disk
	f, err := d.Append("identity.tmp")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Write([]byte(`{"ID":"k-1`)); err != nil {
		t.Fatal(err)
	}
	want, err := identity.Create(&d, "k")
	if err != nil {
		t.Fatal(err)
	}
	if got, known, err := identity.Load(&d); err != nil || !known || got != want {
		t.Errorf("identity %+v, known %t, error %v, want %+v", got, known, err, want)
	}
}
