// Package settings reads the YAML settings of a node.
package settings

import (
	"net"
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

// Node holds the settings of one node. Addresses are IP:port.
type Node struct {
	Instance string `yaml:"instance"`
	Service  string `yaml:"service"`
	Zone     string `yaml:"zone"`
	Region   string `yaml:"region"`

	Target      string `yaml:"target"`       // URL of the target, http://IP:port
	CallAddress string `yaml:"call_address"` // for callers
	SubAddress  string `yaml:"sub_address"`  // loopback, for the node's own target
	PeerAddress string `yaml:"peer_address"` // for other nodes
	OpsAddress  string `yaml:"ops_address"`  // for operators

	Log   string   `yaml:"log"`   // URL of the log service
	Peers []string `yaml:"peers"` // peer addresses to start from
	Entry []string `yaml:"entry"` // services for which the node takes calls; its own by default

	DrainTime time.Duration `yaml:"drain_time"` // for running calls at shutdown
	HeldBytes int64         `yaml:"held_bytes"` // bound on request and answer bytes in memory; 0 for 256 MiB
	LogLevel  string        `yaml:"log_level"`  // debug, info, warn or error
	Insecure  bool          `yaml:"insecure"`   // plain TCP between nodes
	TLS       *TLS          `yaml:"tls"`        // mutual TLS between nodes
}

// TLS names the PEM files for mutual TLS between nodes.
type TLS struct {
	Certificate string `yaml:"certificate"` // a DNS name in it is the instance
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"` // certificates that peers' chains must end in
}

// DefaultDrainTime is how long a shutdown waits for running calls.
const DefaultDrainTime = 30 * time.Second

// Load reads and checks the settings in a file. The error names the file, the
// line or the field, and what is expected.
func Load(path string) (*Node, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	n, err := Parse(text)
	return n, errors.Wrapf(err, "settings %s", path)
}

// Parse reads and checks settings.
func Parse(text []byte) (*Node, error) {
	n := &Node{DrainTime: DefaultDrainTime, LogLevel: "info"}
	if err := yaml.UnmarshalWithOptions(text, n, yaml.Strict()); err != nil {
		return nil, err
	}
	return n, n.check()
}

func (n *Node) check() error {
	required := []struct{ field, value string }{
		{"instance", n.Instance}, {"service", n.Service}, {"zone", n.Zone},
		{"region", n.Region}, {"target", n.Target}, {"log", n.Log},
	}
	for _, r := range required {
		if r.value == "" {
			return errors.Errorf("field %s is missing", r.field)
		}
	}
	addresses := []struct{ field, value string }{
		{"call_address", n.CallAddress}, {"sub_address", n.SubAddress},
		{"peer_address", n.PeerAddress}, {"ops_address", n.OpsAddress},
	}
	for _, a := range addresses {
		if err := checkAddress(a.field, a.value); err != nil {
			return err
		}
	}
	if err := n.CheckSecurity(); err != nil {
		return err
	}
	if n.HeldBytes < 0 {
		return errors.Errorf("field held_bytes is %d, want 0 or more", n.HeldBytes)
	}
	if n.DrainTime < 0 {
		return errors.Errorf("field drain_time is %s, want 0 or more", n.DrainTime)
	}
	return nil
}

// CheckSecurity returns an error unless exactly one of tls and insecure is
// set.
func (n *Node) CheckSecurity() error {
	if n.TLS == nil {
		if n.Insecure {
			return nil
		}
		return errors.New("field tls is missing; links between nodes are plain TCP only with insecure: true")
	}
	if n.Insecure {
		return errors.New("fields tls and insecure exclude each other")
	}
	for _, f := range []struct{ field, value string }{
		{"certificate", n.TLS.Certificate}, {"key", n.TLS.Key}, {"authority", n.TLS.Authority},
	} {
		if f.value == "" {
			return errors.Errorf("field tls.%s is missing", f.field)
		}
	}
	return nil
}

func checkAddress(field, value string) error {
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		return errors.Errorf("field %s is %q, want IP:port", field, value)
	}
	if net.ParseIP(host) == nil {
		return errors.Errorf("field %s is %q, want an IP number before the port", field, value)
	}
	return nil
}
