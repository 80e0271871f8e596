// Package organisation determines the customer that an API key belongs to.
package organisation

import (
	"crypto/sha256"
	"net/http"
	"strings"

	"egretproxy/internal/fleet/id"
	"egretproxy/internal/settings/configfile"
)

// minKeyLength is the minimum length of a key in bytes.
const minKeyLength = 8

// keyFile is the content of the key file.
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

// Directory maps API keys to organisations. It stores only digests of the
// keys.
type Directory struct {
	byKeyDigest map[[sha256.Size]byte]id.Organisation
}

// Load reads the key file with the given name.
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

// Find returns the organisation of a request by its bearer token. The result
// is false if the token is missing or unknown.
func (d *Directory) Find(r *http.Request) (id.Organisation, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", false
	}
	o, ok := d.byKeyDigest[sha256.Sum256([]byte(key))]
	return o, ok
}
