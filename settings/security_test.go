package settings

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a node that uses plain TCP between nodes because its settings omit tls.
func TestTLSOrInsecureIsRequired(t *testing.T) {
	files := &TLS{Certificate: "cert.pem", Key: "key.pem", Authority: "ca.pem"}
	assert.NilError(t, (&Node{Insecure: true}).CheckSecurity())
	assert.NilError(t, (&Node{TLS: files}).CheckSecurity())
	assert.ErrorContains(t, (&Node{}).CheckSecurity(), "field tls is missing")
	assert.ErrorContains(t, (&Node{TLS: files, Insecure: true}).CheckSecurity(), "exclude each other")
	assert.ErrorContains(t, (&Node{TLS: &TLS{Key: "key.pem"}}).CheckSecurity(), "tls.certificate is missing")
}
