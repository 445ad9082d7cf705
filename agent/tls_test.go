package agent

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/logservice/memlog"
	"github.com/oleanderworks/oleanderworks/settings"
)

func writePEM(t *testing.T, path, kind string, raw []byte) string {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600))
	return path
}

// newAuthority creates a certificate authority. The returned function issues a
// certificate for an instance and returns the option that makes a node use it.
func newAuthority(t *testing.T) func(instance string) func(*settings.Node) {
	t.Helper()
	dir := t.TempDir()
	template := func(names ...string) *x509.Certificate {
		return &x509.Certificate{
			SerialNumber: big.NewInt(time.Now().UnixNano()), DNSNames: names, IsCA: len(names) == 0, BasicConstraintsValid: true,
			KeyUsage:  x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
			NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		}
	}
	rootKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	root, err := x509.CreateCertificate(rand.Reader, template(), template(), &rootKey.PublicKey, rootKey)
	assert.NilError(t, err)
	parent, err := x509.ParseCertificate(root)
	assert.NilError(t, err)
	authority := writePEM(t, filepath.Join(dir, "authority.pem"), "CERTIFICATE", root)
	return func(instance string) func(*settings.Node) {
		key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		assert.NilError(t, err)
		cert, err := x509.CreateCertificate(rand.Reader, template(instance), parent, &key.PublicKey, rootKey)
		assert.NilError(t, err)
		rawKey, err := x509.MarshalECPrivateKey(key)
		assert.NilError(t, err)
		files := &settings.TLS{
			Certificate: writePEM(t, filepath.Join(dir, instance+".pem"), "CERTIFICATE", cert),
			Key:         writePEM(t, filepath.Join(dir, instance+".key"), "EC PRIVATE KEY", rawKey),
			Authority:   authority,
		}
		return func(s *settings.Node) { s.Insecure, s.TLS = false, files }
	}
}

// Guards against a failure of calls between nodes that occurs only with TLS.
func TestNodesServeOverTLS(t *testing.T) {
	log := memlog.New(time.Now, memlog.DefaultRetention)
	publish(t, log, nonIdempotentConfig())
	certificate := newAuthority(t)
	entry := startNode(t, log, "registry-1", "registry", startEmptyTarget(t), certificate("registry-1"))
	startNode(t, log, "tally-1", "tally", startEmptyTarget(t), certificate("tally-1"))
	waitForPostOK(t, entry, "/tally/x")
}

// Guards against a node that starts without TLS settings or with the certificate of
// another instance.
func TestNodeWithoutValidCertificateDoesNotStart(t *testing.T) {
	const loopback = "127.0.0.1:0"
	s := &settings.Node{
		Instance: "tally-1", Service: "tally", Zone: "suva", Region: "viti", TargetURL: "http://127.0.0.1:1",
		CallAddress: loopback, SubAddress: loopback, PeerAddress: loopback, OpsAddress: loopback,
	}
	log := memlog.New(time.Now, memlog.DefaultRetention)
	_, err := New(s, log, hclog.NewNullLogger())
	assert.ErrorContains(t, err, "field tls is missing")
	newAuthority(t)("tally-2")(s)
	_, err = New(s, log, hclog.NewNullLogger())
	assert.ErrorContains(t, err, `not instance "tally-1"`)
}
