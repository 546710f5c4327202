package daemon

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"chestnutlatch/peers"
	"chestnutlatch/setup"
	"chestnutlatch/table"
	"chestnutlatch/wire"
)

// authority signs certificates for a test.
type authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{dir: t.TempDir()}
	var err error
	if a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err != nil {
		t.Fatal(err)
	}
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	a.write(t, "ca.pem", a.cert, a.key)
	return a
}

func (a *authority) write(t *testing.T, name string, cert *x509.Certificate, key *ecdsa.PrivateKey) {
	t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	block := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	if err := os.WriteFile(filepath.Join(a.dir, name), block, 0o600); err != nil {
		t.Fatal(err)
	}
}

// creds returns the inner credentials of a daemon with a certificate of a.
func (a *authority) creds(t *testing.T) credentials.TransportCredentials {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a.write(t, "cert.pem", &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "daemon"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}, key)
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(a.dir, "key.pem")
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := innerCredentials(&setup.Settings{
		InnerCert: filepath.Join(a.dir, "cert.pem"), InnerKey: file, InnerCA: filepath.Join(a.dir, "ca.pem"),
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestInnerProtocolTrustsOnlyTheFleet(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := grpc.NewServer(peers.ServerOptions(ours.creds(t), "right")...)
	wire.RegisterInnerServer(srv, &innerServer{d: &Daemon{table: table.New()}})
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(srv.Stop)
	tests := []struct {
		name   string
		creds  credentials.TransportCredentials
		secret string
		want   codes.Code
	}{
		{"a daemon of the fleet", ours.creds(t), "right", codes.OK},
		{"a wrong secret", ours.creds(t), "wrong", codes.Unauthenticated},
		{"another authority", theirs.creds(t), "right", codes.Unavailable},
		{"no TLS", insecure.NewCredentials(), "right", codes.Unavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			pool := peers.New(tt.creds, tt.secret)
			defer pool.Close()
			client, err := pool.Get(l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			_, err = client.Ping(context.Background(), &wire.PingRequest{})
			if got := status.Code(err); got != tt.want {
				t.Errorf("Ping() = %v, want %s", err, tt.want)
			}
		})
	}
}

func TestInnerCredentialsNameTheFile(t *testing.T) {
	for name, cfg := range map[string]*setup.Settings{
		"no pair": {InnerCert: "nowhere.pem", InnerKey: "nowhere.pem", InnerCA: "nowhere.pem"},
	} {
		if _, err := innerCredentials(cfg); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
