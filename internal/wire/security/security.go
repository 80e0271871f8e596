// Package security builds mutual TLS from files and keeps processes without
// it on the loopback addresses.
package security

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"os"

	"github.com/go-faster/errors"
)

// ErrNotLoopback tells that a listener without TLS would be reachable from
// other instances.
var ErrNotLoopback = errors.New("without Security only loopback addresses may be used")

// Identity is the certificate of a process and the authority that all
// processes trust. The zero value stands for no TLS.
type Identity struct {
	server *tls.Config
	client *tls.Config
}

// Load reads an identity from PEM files. Empty paths give the zero value.
func Load(authority, certificate, key string) (Identity, error) {
	if authority == "" && certificate == "" && key == "" {
		return Identity{}, nil
	}
	pem, err := os.ReadFile(authority)
	if err != nil {
		return Identity{}, errors.Wrap(err, "read authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return Identity{}, errors.Errorf("%s holds no certificate", authority)
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

// Server returns the configuration for listeners, or nil.
func (i Identity) Server() *tls.Config { return i.server }

// Client returns the configuration for connections, or nil.
func (i Identity) Client() *tls.Config { return i.client }

// CheckListen refuses addresses that need an identity which is missing.
func (i Identity) CheckListen(address string) error {
	if i.Enabled() {
		return nil
	}
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Wrap(err, "listen address")
	}
	if !a.Addr().IsLoopback() {
		return errors.Wrap(ErrNotLoopback, address)
	}
	return nil
}
