// Package identity stores the id of a keeper in its data directory. A keeper
// that lost its data gets a new id and never votes under the old one.
package identity

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"

	"github.com/go-faster/errors"

	"egretproxy/internal/agreement/journal"
	"egretproxy/internal/agreement/record"
	"egretproxy/internal/fleet/id"
	"egretproxy/internal/kernel/errwrap"
)

// ErrExists means that the directory already holds an identity.
var ErrExists = errors.New("data directory already belongs to a keeper")

const (
	fileName      = "identity.json"
	temporaryName = "identity.tmp"
	suffixBytes   = 6
	// bootstrapIndex and bootstrapTerm are those of the bootstrap snapshot,
	// which holds the initial membership.
	bootstrapIndex = 1
	bootstrapTerm  = 1
)

// Identity is the id and the configured name of a keeper.
type Identity struct {
	ID   id.Keeper
	Name string
}

// Bootstrap prepares an empty directory for the first start of a group. All
// keepers of the group must be given the same members. It returns ErrExists
// if the directory already has an identity.
func Bootstrap(dir journal.Dir, name string, members []record.Member) error {
	if _, ok, err := Load(dir); err != nil || ok {
		return errorOr(err, ErrExists)
	}
	own := Identity{ID: BootstrapID(name), Name: name}
	j, err := journal.Open(dir)
	if err != nil {
		return errors.Wrap(err, "open journal")
	}
	var m record.Membership
	for _, c := range members {
		c.ID = BootstrapID(c.Name)
		c.Voter = true
		m = m.With(c)
	}
	if !m.IsVoter(own.ID) {
		return errors.Errorf("keeper %s is not among the members", name)
	}
	s := &record.Snapshot{Index: bootstrapIndex, Term: bootstrapTerm, Membership: m}
	if err := j.SaveSnapshot(s, true); err != nil {
		return errors.Wrap(err, "save bootstrap snapshot")
	}
	if err := j.Close(); err != nil {
		return errors.Wrap(err, "close journal")
	}
	return save(dir, own)
}

// BootstrapID returns the id of an initial member of a group.
func BootstrapID(name string) id.Keeper {
	return id.Keeper(name + "-first")
}

// Create stores a new random id in an empty directory. The keeper joins the
// group under this id.
func Create(dir journal.Dir, name string) (Identity, error) {
	var b [suffixBytes]byte
	_, _ = rand.Read(b[:])
	i := Identity{ID: id.Keeper(name + "-" + hex.EncodeToString(b[:])), Name: name}
	return i, save(dir, i)
}

// Load reads the identity. ok is false if the directory has none.
func Load(dir journal.Dir) (i Identity, ok bool, err error) {
	names, err := dir.List()
	if err != nil {
		return Identity{}, false, errors.Wrap(err, "list data directory")
	}
	for _, n := range names {
		if n != fileName {
			continue
		}
		data, err := dir.Read(fileName)
		if err != nil {
			return Identity{}, false, errors.Wrap(err, "read identity")
		}
		if err := json.Unmarshal(data, &i); err != nil {
			return Identity{}, false, errors.Wrap(err, "decode identity")
		}
		return i, true, nil
	}
	return Identity{}, false, nil
}

// Discard removes all files but the lock, so that the keeper can join as a new
// member.
func Discard(dir journal.Dir) error {
	names, err := dir.List()
	if err != nil {
		return errors.Wrap(err, "list data directory")
	}
	for _, n := range names {
		if n == "lock" {
			continue
		}
		if err := dir.Remove(n); err != nil {
			return errors.Wrap(err, "remove "+n)
		}
	}
	return errwrap.Wrap(dir.Sync(), "sync data directory")
}

func save(dir journal.Dir, i Identity) error {
	data, err := json.Marshal(i)
	if err != nil {
		return errors.Wrap(err, "encode identity")
	}
	// An earlier attempt may have left a part of it.
	_ = dir.Remove(temporaryName)
	f, err := dir.Append(temporaryName)
	if err != nil {
		return errors.Wrap(err, "create identity")
	}
	defer func() { _ = f.Close() }()
	if _, err := f.Write(data); err != nil {
		return errors.Wrap(err, "write identity")
	}
	if err := f.Sync(); err != nil {
		return errors.Wrap(err, "sync identity")
	}
	if err := dir.Rename(temporaryName, fileName); err != nil {
		return errors.Wrap(err, "rename identity")
	}
	return errwrap.Wrap(dir.Sync(), "sync data directory")
}

func errorOr(err, fallback error) error {
	if err != nil {
		return err
	}
	return fallback
}
