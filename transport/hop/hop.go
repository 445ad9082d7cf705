// Package hop removes hop-by-hop header fields.
package hop

import "net/http"

// hopByHopFields apply to a single connection and must not be forwarded
// (RFC 9110, section 7.6.1).
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Connection",
}

// RemoveFields removes hopByHopFields from h. Contrary to RFC 9110, it keeps other
// fields that the Connection field names.
func RemoveFields(h http.Header) {
	for _, name := range hopByHopFields {
		delete(h, name)
	}
}
