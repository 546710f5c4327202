package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/go-faster/errors"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"chestnutlatch/setup"
)

// innerCredentials returns mutual TLS credentials for the inner protocol, or
// insecure ones if the settings name no certificate. Peers are authenticated by
// their certificate's authority, not by host name, since daemons are addressed
// by IP address.
func innerCredentials(cfg *setup.Settings) (credentials.TransportCredentials, error) {
	if cfg.InnerCert == "" {
		return insecure.NewCredentials(), nil
	}
	pair, err := tls.LoadX509KeyPair(cfg.InnerCert, cfg.InnerKey)
	if err != nil {
		return nil, errors.Wrap(err, "load inner_cert and inner_key: set both to the files of a matching PEM pair")
	}
	pem, err := os.ReadFile(cfg.InnerCA)
	if err != nil {
		return nil, errors.Wrap(err, "read inner_ca: set it to a readable PEM file")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("inner_ca %s contains no certificate: set it to the authority's PEM file", cfg.InnerCA)
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{pair},
		ClientCAs:          roots,
		ClientAuth:         tls.RequireAndVerifyClientCert,
		InsecureSkipVerify: true, //nolint:gosec // the chain is verified below, only the name is not
		VerifyConnection: func(cs tls.ConnectionState) error {
			return verifyChain(cs, roots)
		},
	}), nil
}

// verifyChain checks that a peer's certificate is signed by one of roots.
func verifyChain(cs tls.ConnectionState, roots *x509.CertPool) error {
	if len(cs.PeerCertificates) == 0 {
		return errors.New("peer sent no certificate: set inner_cert and inner_key on every daemon")
	}
	intermediates := x509.NewCertPool()
	for _, c := range cs.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := cs.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return errors.Wrap(err, "peer certificate is not signed by inner_ca")
	}
	return nil
}
