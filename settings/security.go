package settings

import "github.com/pkg/errors"

// fault is a field with what is wrong about it.
type fault struct{ field, text string }

// CheckSecurity returns an error unless exactly one of tls and insecure is
// set.
func (n *Node) CheckSecurity() error {
	if f := n.securityFault(); f != nil {
		return errors.Errorf("field %s %s", f.field, f.text)
	}
	return nil
}

func (n *Node) securityFault() *fault {
	if n.TLS == nil {
		if n.Insecure {
			return nil
		}
		return &fault{"tls", "is missing; links between nodes are plain TCP only with insecure: true"}
	}
	if n.Insecure {
		return &fault{"insecure", "and tls exclude each other"}
	}
	for _, f := range []struct{ field, value string }{
		{"tls.certificate", n.TLS.Certificate}, {"tls.key", n.TLS.Key}, {"tls.authority", n.TLS.Authority},
	} {
		if f.value == "" {
			return &fault{f.field, "is missing, expected the path of a PEM file"}
		}
	}
	return nil
}
