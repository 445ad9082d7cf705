// Package hop removes hop-by-hop header fields.
package hop

import "net/http"

// connectionHeaders apply to a single connection and must not be forwarded
// (RFC 9110, section 7.6.1).
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Connection",
}

// Strip removes the hop-by-hop fields from h.
func Strip(h http.Header) {
	for _, name := range connectionHeaders {
		delete(h, name)
	}
}
