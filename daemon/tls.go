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

// innerCredentials returns mutual TLS for the inner protocol if the settings
// name its files. Peers are told by their certificate's authority, not by
// host name, since daemons are known by IP number.
func innerCredentials(cfg *setup.Settings) (credentials.TransportCredentials, error) {
	if cfg.InnerCert == "" {
		return insecure.NewCredentials(), nil
	}
	pair, err := tls.LoadX509KeyPair(cfg.InnerCert, cfg.InnerKey)
	if err != nil {
		return nil, errors.Wrap(err, "inner_cert and inner_key: give a matching PEM pair")
	}
	pem, err := os.ReadFile(cfg.InnerCA)
	if err != nil {
		return nil, errors.Wrap(err, "inner_ca: give a readable PEM file")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("inner_ca %s holds no certificate: give the authority's PEM file", cfg.InnerCA)
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

func verifyChain(cs tls.ConnectionState, roots *x509.CertPool) error {
	if len(cs.PeerCertificates) == 0 {
		return errors.New("peer sent no certificate: set inner_cert and inner_key on every daemon")
	}
	between := x509.NewCertPool()
	for _, c := range cs.PeerCertificates[1:] {
		between.AddCert(c)
	}
	_, err := cs.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: roots, Intermediates: between, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return errors.Wrap(err, "peer's certificate is not from inner_ca")
	}
	return nil
}
