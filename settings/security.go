package settings

import "github.com/pkg/errors"

// fieldError names a field of the settings and says what is wrong with it.
type fieldError struct{ field, message string }

// CheckSecurity returns an error unless exactly one of TLS and Insecure is set. If TLS is
// set, it must name all its files.
func (n *Node) CheckSecurity() error {
	if fieldErr := n.securityError(); fieldErr != nil {
		return errors.Errorf("field %s %s", fieldErr.field, fieldErr.message)
	}
	return nil
}

func (n *Node) securityError() *fieldError {
	if n.TLS == nil {
		if n.Insecure {
			return nil
		}
		return &fieldError{"tls", "is missing; links between nodes are plain TCP only with insecure: true"}
	}
	if n.Insecure {
		return &fieldError{"insecure", "and tls exclude each other"}
	}
	for _, file := range []struct{ field, value string }{
		{"tls.certificate", n.TLS.Certificate}, {"tls.key", n.TLS.Key}, {"tls.authority", n.TLS.Authority},
	} {
		if file.value == "" {
			return &fieldError{file.field, "is missing, expected the path of a PEM file"}
		}
	}
	return nil
}
