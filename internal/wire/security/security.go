// Package security loads the mutual TLS configuration of a process, and
// restricts processes without one to loopback addresses.
package security

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"os"

	"github.com/go-faster/errors"
)

// ErrNotLoopback means that a listener without TLS would be reachable from other
// instances.
var ErrNotLoopback = errors.New("listening on a non-loopback address requires TLS (Security settings)")

// Identity is the certificate of a process and the certificate authority that
// all processes trust. The zero value means no TLS.
type Identity struct {
	server *tls.Config
	client *tls.Config
}

// Load reads an identity from PEM files. It returns the zero value if all paths
// are empty.
func Load(authority, certificate, key string) (Identity, error) {
	if authority == "" && certificate == "" && key == "" {
		return Identity{}, nil
	}
	pem, err := os.ReadFile(authority)
	if err != nil {
		return Identity{}, errors.Wrap(err, "read certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return Identity{}, errors.Errorf("%s contains no PEM certificate", authority)
	}
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return Identity{}, errors.Wrap(err, "load certificate")
	}
	return Identity{
		server: &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair},
			ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool,
		},
		client: &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}, RootCAs: pool,
		},
	}, nil
}

// Enabled reports whether connections are authenticated.
func (i Identity) Enabled() bool { return i.server != nil }

// Server returns the configuration for listeners, or nil without TLS.
func (i Identity) Server() *tls.Config { return i.server }

// Client returns the configuration for outgoing connections, or nil without TLS.
func (i Identity) Client() *tls.Config { return i.client }

// CheckListen returns ErrNotLoopback if the address, an IP address and port, is
// no loopback address and the identity is the zero value.
func (i Identity) CheckListen(address string) error {
	if i.Enabled() {
		return nil
	}
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Wrap(err, "parse listen address")
	}
	if !a.Addr().IsLoopback() {
		return errors.Wrap(ErrNotLoopback, address)
	}
	return nil
}
