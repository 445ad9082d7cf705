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

// Security names the PEM files with which a node proves who it is. They are
// read for each new connection, so that certificates can be replaced while
// the node runs.
type Security struct {
	Certificate string // chain of this node; a DNS name in it is the instance
	Key         string
	Authority   string // certificates that peers' chains must end in
}

// Check reads the files and verifies that the certificate is of the authority
// and names the instance.
func (s *Security) Check(self model.Instance) error {
	cert, pool, err := s.load()
	if err != nil {
		return err
	}
	leaf, err := x509.ParseCertificate(cert.Certificate[0])
	if err != nil {
		return errors.Wrap(err, s.Certificate)
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		options := x509.VerifyOptions{Roots: pool, Intermediates: intermediates(cert), KeyUsages: []x509.ExtKeyUsage{usage}}
		if _, err := leaf.Verify(options); err != nil {
			return errors.Wrapf(err, "certificate %s, authority %s", s.Certificate, s.Authority)
		}
	}
	return errors.Wrap(verifyName(leaf, self), s.Certificate)
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

func (s *Security) load() (*tls.Certificate, *x509.CertPool, error) {
	cert, err := tls.LoadX509KeyPair(s.Certificate, s.Key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read certificate")
	}
	text, err := os.ReadFile(s.Authority)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, nil, errors.Errorf("authority %s holds no certificate", s.Authority)
	}
	return &cert, pool, nil
}

// config returns the settings for one connection. TLS 1.3 only; sessions are
// not resumed, so that each connection is checked against the current files.
func (s *Security) tlsConfig() (*tls.Config, error) {
	cert, pool, err := s.load()
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

// client secures a connection that this node opened to a peer.
func (s *Security) client(ctx context.Context, conn net.Conn, peer model.Instance) (*tls.Conn, error) {
	cfg, err := s.tlsConfig()
	if err != nil {
		return nil, err
	}
	cfg.ServerName = string(peer)
	if peer == "" {
		// The instance is checked against the hello; the chain is checked here.
		cfg.InsecureSkipVerify = true
		cfg.VerifyConnection = verifyChain(cfg.RootCAs)
	}
	secured := tls.Client(conn, cfg)
	return secured, fault.Wrap("TLS handshake", string(peer), secured.HandshakeContext(ctx))
}

// chainIn returns a check that the peer's chain ends in roots.
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

// server secures a connection that a peer opened.
func (s *Security) server(ctx context.Context, conn net.Conn) (*tls.Conn, error) {
	cfg, err := s.tlsConfig()
	if err != nil {
		return nil, err
	}
	secured := tls.Server(conn, cfg)
	return secured, fault.Wrap("TLS handshake", conn.RemoteAddr().String(), secured.HandshakeContext(ctx))
}

// names returns an error unless a DNS name of the certificate is exactly the
// instance. A wildcard names no instance.
func verifyName(leaf *x509.Certificate, i model.Instance) error {
	if slices.Contains(leaf.DNSNames, string(i)) {
		return nil
	}
	return errors.Errorf("the certificate names %q, not instance %q", leaf.DNSNames, i)
}

// speaksFor checks that the peer at the other end of conn may speak for an
// instance. Plain connections have no proof.
func verifyInstance(conn net.Conn, i model.Instance) error {
	secured, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	return verifyName(secured.ConnectionState().PeerCertificates[0], i)
}
