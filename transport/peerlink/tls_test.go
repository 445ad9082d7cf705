package peerlink

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/transport/wire"
)

// testCA is a certificate authority for tests.
type testCA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newTestCA(t testing.TB) *testCA {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(raw)
	assert.NilError(t, err)
	return &testCA{cert: cert, key: key, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw})}
}

// issue issues a certificate with the DNS names and writes its files to dir.
func (a *testCA) issue(t testing.TB, dir string, names ...string) *TLSFiles {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: serial, DNSNames: names, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		NotBefore:   time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	assert.NilError(t, err)
	keyRaw, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	s := &TLSFiles{
		Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), Authority: filepath.Join(dir, "ca.pem"),
	}
	for path, text := range map[string][]byte{
		s.Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw}),
		s.Key:         pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyRaw}),
		s.Authority:   a.pem,
	} {
		assert.NilError(t, os.WriteFile(path, text, 0o600))
	}
	return s
}

func testMember(instance, address string) model.Member {
	return model.Member{NodeID: model.NodeID{Instance: model.Instance(instance), Incarnation: 1}, PeerAddress: address}
}

func echo(_ context.Context, call *model.Call) *model.Answer {
	return &model.Answer{ID: call.ID, Run: model.Completed, Status: 200, Body: call.Body}
}

func newEndpoint(instance string, s *TLSFiles) *Endpoint {
	return &Endpoint{
		Self:       func() model.Member { return testMember(instance, "") },
		HandleCall: echo, HandleControl: func(*Session, *wire.ControlFrame) {}, TLS: s, Start: time.Now(),
	}
}

// listen runs an endpoint and returns its member record and the errors of
// refused connections.
func listen(t *testing.T, e *Endpoint) (model.Member, chan error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	refused := make(chan error, 16)
	e.OnRefused = func(_ string, err error) { refused <- err }
	tb := new(tomb.Tomb)
	tb.Go(func() error { return e.Serve(tb, l) })
	t.Cleanup(func() { tb.Kill(nil); _ = tb.Wait() })
	return testMember(string(e.Self().Instance), l.Addr().String()), refused
}

func callOnce(t *testing.T, s *Session, from string) *model.Answer {
	t.Helper()
	call := &model.Call{ID: 7, Body: []byte("42 head"), Deadline: time.Now().Add(5 * time.Second)}
	call.EntryNode.Instance = model.Instance(from)
	ctx, cancel := context.WithDeadline(context.Background(), call.Deadline)
	defer cancel()
	return s.Call(ctx, call)
}

// Guards against sessions without mutual TLS, and against TLS versions below 1.3.
func TestSessionUsesTLS13(t *testing.T) {
	ca := newTestCA(t)
	peer, _ := listen(t, newEndpoint("tally-1", ca.issue(t, t.TempDir(), "tally-1")))
	s, err := newEndpoint("registry-1", ca.issue(t, t.TempDir(), "registry-1")).Dial(context.Background(), peer)
	assert.NilError(t, err)
	defer s.Close()
	assert.Equal(t, s.transportConn.(*tls.Conn).ConnectionState().Version, uint16(tls.VersionTLS13))
	assert.Equal(t, string(callOnce(t, s, "registry-1").Body), "42 head")
}

// Guards against accepting peers without a certificate, or with a certificate
// of another authority or instance, and against connecting to such nodes.
func TestUntrustedPeersAreRefused(t *testing.T) {
	ca, other := newTestCA(t), newTestCA(t)
	node := newEndpoint("tally-1", ca.issue(t, t.TempDir(), "tally-1"))
	peer, refused := listen(t, node)
	valid := ca.issue(t, t.TempDir(), "registry-1")
	untrusted := other.issue(t, t.TempDir(), "registry-1")
	untrusted.Authority = valid.Authority // trusts the node, but is not trusted

	cases := []struct {
		name     string
		instance string
		files    *TLSFiles
		peer     model.Member
		refusal  string
	}{
		{"plain TCP", "registry-1", nil, peer, "first record does not look like a TLS handshake"},
		{"another authority", "registry-1", untrusted, peer, "certificate signed by unknown authority"},
		{"another instance", "registry-2", valid, peer, `names ["registry-1"], not instance "registry-2"`},
		{"wildcard", "registry-1", ca.issue(t, t.TempDir(), "*"), peer, `not instance "registry-1"`},
		{"node is another instance", "registry-1", valid, testMember("tally-2", peer.PeerAddress), ""},
		{"node of another authority", "registry-1", other.issue(t, t.TempDir(), "registry-1"), peer, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := newEndpoint(tc.instance, tc.files).Dial(context.Background(), tc.peer)
			assert.Assert(t, err != nil)
			got := <-refused
			if tc.refusal != "" {
				assert.ErrorContains(t, got, tc.refusal)
			}
		})
	}
	t.Run("no certificate", func(t *testing.T) {
		conn, err := tls.Dial("tcp", peer.PeerAddress, &tls.Config{InsecureSkipVerify: true})
		assert.NilError(t, err)
		defer conn.Close()
		assert.ErrorContains(t, <-refused, "client didn't provide a certificate")
	})
}

// Guards against accepting calls whose entry node is not the peer that sends them.
func TestCallForOtherEntryNodeIsRejected(t *testing.T) {
	ca := newTestCA(t)
	peer, _ := listen(t, newEndpoint("tally-1", ca.issue(t, t.TempDir(), "tally-1")))
	s, err := newEndpoint("registry-1", ca.issue(t, t.TempDir(), "registry-1")).Dial(context.Background(), peer)
	assert.NilError(t, err)
	defer s.Close()
	assert.Equal(t, callOnce(t, s, "registry-2").Reason, model.ReasonAnswerCut)
}

// Guards against a node that uses replaced certificate files only after a restart.
func TestCertificatesAreReadForEachConnection(t *testing.T) {
	ca, next := newTestCA(t), newTestCA(t)
	dir := t.TempDir()
	peer, _ := listen(t, newEndpoint("tally-1", ca.issue(t, dir, "tally-1")))
	next.issue(t, dir, "tally-1")
	s, err := newEndpoint("registry-1", next.issue(t, t.TempDir(), "registry-1")).Dial(context.Background(), peer)
	assert.NilError(t, err)
	s.Close()
	_, err = newEndpoint("registry-1", ca.issue(t, t.TempDir(), "registry-1")).Dial(context.Background(), peer)
	assert.ErrorContains(t, err, "unknown authority")
}

// Guards against a node that starts with a certificate that its peers reject.
func TestCheckFindsWrongCertificate(t *testing.T) {
	ca := newTestCA(t)
	s := ca.issue(t, t.TempDir(), "tally-1")
	assert.NilError(t, s.Check("tally-1"))
	assert.ErrorContains(t, s.Check("tally-2"), `not instance "tally-2"`)
	foreign := newTestCA(t).issue(t, t.TempDir(), "tally-1")
	s.Authority = foreign.Authority
	assert.ErrorContains(t, s.Check("tally-1"), "unknown authority")
	s.Key = "absent.pem"
	assert.ErrorContains(t, s.Check("tally-1"), "absent.pem")
}
