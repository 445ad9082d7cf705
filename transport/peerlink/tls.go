package peerlink

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"slices"

	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/core/fault"
	"github.com/oleanderworks/oleanderworks/model"
)

// TLSFiles holds the paths of the PEM files for mutual TLS between nodes. They
// are read for each new connection, so that certificates can be replaced while
// the node runs.
type TLSFiles struct {
	Certificate string // this node's certificate chain; the leaf has the instance as a DNS name
	Key         string
	Authority   string // CA certificates that peers' chains must lead to
}

// Check reads the files and verifies that the authority issued the certificate and
// that the certificate names this instance.
func (f *TLSFiles) Check(self model.Instance) error {
	cert, pool, err := f.load()
	if err != nil {
		return err
	}
	leaf, err := x509.ParseCertificate(cert.Certificate[0])
	if err != nil {
		return errors.Wrap(err, f.Certificate)
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		options := x509.VerifyOptions{Roots: pool, Intermediates: intermediates(cert), KeyUsages: []x509.ExtKeyUsage{usage}}
		if _, err := leaf.Verify(options); err != nil {
			return errors.Wrapf(err, "certificate %s, authority %s", f.Certificate, f.Authority)
		}
	}
	return errors.Wrap(verifyName(leaf, self), f.Certificate)
}

func intermediates(cert *tls.Certificate) *x509.CertPool {
	pool := x509.NewCertPool()
	for _, raw := range cert.Certificate[1:] {
		if c, err := x509.ParseCertificate(raw); err == nil {
			pool.AddCert(c)
		}
	}
	return pool
}

func (f *TLSFiles) load() (*tls.Certificate, *x509.CertPool, error) {
	cert, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read certificate")
	}
	caPEM, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(caPEM) {
		return nil, nil, errors.Errorf("authority %s holds no certificate", f.Authority)
	}
	return &cert, pool, nil
}

// tlsConfig returns the TLS configuration for one connection. Only TLS 1.3 is
// allowed. Sessions are not resumed, so that each connection is verified against
// the current files.
func (f *TLSFiles) tlsConfig() (*tls.Config, error) {
	cert, pool, err := f.load()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{*cert},
		RootCAs:                pool,
		ClientCAs:              pool,
		ClientAuth:             tls.RequireAndVerifyClientCert,
		SessionTicketsDisabled: true,
	}, nil
}

// clientHandshake performs the TLS handshake on a connection that this node opened.
func (f *TLSFiles) clientHandshake(ctx context.Context, conn net.Conn, peer model.Instance) (*tls.Conn, error) {
	cfg, err := f.tlsConfig()
	if err != nil {
		return nil, err
	}
	cfg.ServerName = string(peer)
	if peer == "" {
		// Only the chain is verified here; the instance is verified when the
		// peer's hello names it.
		cfg.InsecureSkipVerify = true
		cfg.VerifyConnection = verifyChain(cfg.RootCAs)
	}
	tlsConn := tls.Client(conn, cfg)
	return tlsConn, fault.Wrap("TLS handshake", string(peer), tlsConn.HandshakeContext(ctx))
}

// verifyChain returns a function that verifies that the peer's chain leads to
// roots.
func verifyChain(roots *x509.CertPool) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		pool := x509.NewCertPool()
		for _, c := range state.PeerCertificates[1:] {
			pool.AddCert(c)
		}
		_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: roots, Intermediates: pool})
		return err
	}
}

// serverHandshake performs the TLS handshake on a connection that a peer opened.
func (f *TLSFiles) serverHandshake(ctx context.Context, conn net.Conn) (*tls.Conn, error) {
	cfg, err := f.tlsConfig()
	if err != nil {
		return nil, err
	}
	tlsConn := tls.Server(conn, cfg)
	return tlsConn, fault.Wrap("TLS handshake", conn.RemoteAddr().String(), tlsConn.HandshakeContext(ctx))
}

// verifyName returns an error unless one of the certificate's DNS names equals
// the instance. Wildcards are not expanded.
func verifyName(leaf *x509.Certificate, instance model.Instance) error {
	if slices.Contains(leaf.DNSNames, string(instance)) {
		return nil
	}
	return errors.Errorf("the certificate names %q, not instance %q", leaf.DNSNames, instance)
}

// verifyInstance verifies that the peer's certificate is issued for the
// instance. Connections without TLS are not verified.
func verifyInstance(conn net.Conn, instance model.Instance) error {
	tlsConn, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	return verifyName(tlsConn.ConnectionState().PeerCertificates[0], instance)
}
