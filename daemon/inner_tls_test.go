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

	"github.com/hashicorp/go-hclog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"chestnutlatch/clock"
	"chestnutlatch/peers"
	"chestnutlatch/setup"
	"chestnutlatch/table"
	"chestnutlatch/wire"
)

// testCA is a certificate authority whose files are in a temporary directory.
type testCA struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	a := &testCA{dir: t.TempDir()}
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

func (a *testCA) write(t *testing.T, name string, cert *x509.Certificate, key *ecdsa.PrivateKey) {
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

// creds returns the inner credentials of a daemon whose certificate is signed by a.
func (a *testCA) creds(t *testing.T) credentials.TransportCredentials {
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

// TestInnerProtocolAuthenticatesPeers checks that only peers with a certificate of
// the fleet's authority and the fleet secret can call.
func TestInnerProtocolAuthenticatesPeers(t *testing.T) {
	fleetCA, otherCA := newTestCA(t), newTestCA(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := grpc.NewServer(peers.ServerOptions(fleetCA.creds(t), "right")...)
	wire.RegisterInnerServer(srv, &innerServer{d: &Daemon{table: table.New()}})
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(srv.Stop)
	tests := []struct {
		name   string
		creds  credentials.TransportCredentials
		secret string
		want   codes.Code
	}{
		{"daemon of the fleet", fleetCA.creds(t), "right", codes.OK},
		{"wrong secret", fleetCA.creds(t), "wrong", codes.Unauthenticated},
		{"another authority", otherCA.creds(t), "right", codes.Unavailable},
		{"no TLS", insecure.NewCredentials(), "right", codes.Unavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			pool := peers.New(tt.creds, tt.secret, clock.NewSystem(), hclog.NewNullLogger())
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

// TestMissingTLSFilesAreRejected checks that a missing key pair is an error.
func TestMissingTLSFilesAreRejected(t *testing.T) {
	for name, cfg := range map[string]*setup.Settings{
		"missing key pair": {InnerCert: "nowhere.pem", InnerKey: "nowhere.pem", InnerCA: "nowhere.pem"},
	} {
		if _, err := innerCredentials(cfg); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
