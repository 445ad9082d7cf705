// Package hop removes the header fields that concern one connection only.
package hop

import "net/http"

// fields are not passed on (RFC 9110, 7.6.1).
var fields = []string{
	"Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Connection",
}

// Strip removes the fields from a header.
func Strip(h http.Header) {
	for _, name := range fields {
		delete(h, name)
	}
}
