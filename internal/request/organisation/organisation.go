// Package organisation finds the customer that a caller's key belongs to.
package organisation

import (
	"crypto/sha256"
	"net/http"
	"strings"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/settings/configfile"
)

// minKeyLength is the shortest key in characters.
const minKeyLength = 8

// keyFile is the file with the keys.
type keyFile struct {
	Organisations []keyEntry
}

type keyEntry struct {
	ID  id.Organisation
	Key string
}

// Check implements configfile.Checker.
func (k *keyFile) Check() []configfile.Problem {
	for _, e := range k.Organisations {
		if e.ID == "" || len(e.Key) < minKeyLength {
			return []configfile.Problem{{Key: "Organisations", Reason: "each needs an ID and a key of at least 8 characters"}}
		}
	}
	return nil
}

// Directory maps keys to organisations. It holds digests of keys only.
type Directory struct {
	byKeyDigest map[[sha256.Size]byte]id.Organisation
}

// Load reads the file of keys.
func Load(name string) (*Directory, error) {
	var k keyFile
	if err := configfile.Load(name, &k); err != nil {
		return nil, err
	}
	d := &Directory{byKeyDigest: map[[sha256.Size]byte]id.Organisation{}}
	for _, e := range k.Organisations {
		d.byKeyDigest[sha256.Sum256([]byte(e.Key))] = e.ID
	}
	return d, nil
}

// Find returns the organisation of a request by its bearer token.
func (d *Directory) Find(r *http.Request) (id.Organisation, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", false
	}
	o, ok := d.byKeyDigest[sha256.Sum256([]byte(key))]
	return o, ok
}
