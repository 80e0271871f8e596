package security_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"egretproxy/internal/wire/rpc"
	"egretproxy/internal/wire/security"
)

// issueCertificate writes an authority and a certificate that it signed, and returns
// their files.
func issueCertificate(t *testing.T) (authority, certificate, key string) {
	t.Helper()
	dir := t.TempDir()
	caKey, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	ca := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, IsCA: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageCertSign, BasicConstraintsValid: true,
	}
	caDER, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	if err != nil {
		t.Fatal(err)
	}
	ownKey, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	own := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "process"},
		NotBefore: ca.NotBefore, NotAfter: ca.NotAfter, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	ownDER, err := x509.CreateCertificate(rand.Reader, own, ca, &ownKey.PublicKey, caKey)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(ownKey)
	if err != nil {
		t.Fatal(err)
	}
	write := func(name, kind string, der []byte) string {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	return write("ca.pem", "CERTIFICATE", caDER), write("own.pem", "CERTIFICATE", ownDER), write("own.key", "EC PRIVATE KEY", keyDER)
}

// TestHoldsOnlyKnownProcessesAreServed calls a server with a certificate of
// its authority, with one of another, and with none.
func TestHoldsOnlyKnownProcessesAreServed(t *testing.T) {
	ours, err := security.Load(issueCertificate(t))
	if err != nil {
		t.Fatal(err)
	}
	theirs, err := security.Load(issueCertificate(t))
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := &rpc.Server{TLS: ours.Server(), Handlers: map[string]rpc.Handler{
		"Echo": func(_ context.Context, p json.RawMessage) (any, error) { return p, nil },
	}}
	go func() { _ = server.Serve(ctx, l) }()
	call := func(i security.Identity) error {
		c := &rpc.Client{Address: l.Addr().String(), TLS: i.Client()}
		defer c.Close()
		var out string
		return c.Call(ctx, "Echo", "hello", &out)
	}
	if err := call(ours); err != nil {
		t.Errorf("a known process was refused: %v", err)
	}
	if call(theirs) == nil {
		t.Error("a process of another authority was served")
	}
	if call(security.Identity{}) == nil {
		t.Error("a process without a certificate was served")
	}
}

func TestWithoutIdentityOnlyLoopbackIsServed(t *testing.T) {
	if err := (security.Identity{}).CheckListen("127.0.0.1:1"); err != nil {
		t.Error(err)
	}
	if (security.Identity{}).CheckListen("10.0.0.1:1") == nil {
		t.Error("a public address was taken without an identity")
	}
}
