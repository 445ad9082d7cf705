// Package settings reads the YAML settings of a node.
package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/core/strictyaml"
)

// Node holds the settings of one node. Addresses are IP:port.
type Node struct {
	Instance string `yaml:"instance"`
	Service  string `yaml:"service"`
	Zone     string `yaml:"zone"`
	Region   string `yaml:"region"`

	TargetURL   string `yaml:"target"`       // URL of the target, http://IP:port
	CallAddress string `yaml:"call_address"` // for callers
	SubAddress  string `yaml:"sub_address"`  // loopback, for the node's own target
	PeerAddress string `yaml:"peer_address"` // for other nodes
	OpsAddress  string `yaml:"ops_address"`  // for operators

	LogURL        string   `yaml:"log"`   // URL of the log service
	Peers         []string `yaml:"peers"` // peer addresses to start from
	EntryServices []string `yaml:"entry"` // services for which the node takes calls; its own by default

	DrainTime time.Duration `yaml:"-"`          // for running calls at shutdown; drain_time in the file
	LogLevel  string        `yaml:"log_level"`  // debug, info, warn or error
	HeldBytes int64         `yaml:"held_bytes"` // bound on request and answer bytes in memory; 0 for 256 MiB
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

// Load reads and checks the settings in a file. The error is
// strictyaml.ErrorList when the file could be read.
func Load(path string) (*Node, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(path, text)
}

// Parse reads and checks settings. Name stands for the file in errors.
func Parse(name string, text []byte) (*Node, error) {
	in := &written{Node: Node{LogLevel: "info"}, DrainTime: DefaultDrainTime.String()}
	file, err := strictyaml.Read(name, text, in)
	if err != nil {
		return nil, err
	}
	c := checker{file: file}
	in.Node.DrainTime = c.duration("drain_time", in.DrainTime)
	c.check(&in.Node)
	if err := file.Err(); err != nil {
		return nil, err
	}
	return &in.Node, nil
}

// written is the form of the settings in their file.
type written struct {
	Node      `yaml:",inline"`
	DrainTime string `yaml:"drain_time"`
}

// checker looks for faults that the types cannot express.
type checker struct{ file *strictyaml.File }

func (c *checker) check(n *Node) {
	c.required("instance", n.Instance)
	c.required("service", n.Service)
	c.required("zone", n.Zone)
	c.required("region", n.Region)
	c.url("target", n.TargetURL)
	c.url("log", n.LogURL)
	c.address("call_address", n.CallAddress)
	c.address("sub_address", n.SubAddress)
	c.address("peer_address", n.PeerAddress)
	c.address("ops_address", n.OpsAddress)
	for i, peer := range n.Peers {
		c.address(fmt.Sprintf("peers[%d]", i), peer)
	}
	c.entry(n.EntryServices)
	c.security(n)
	if n.HeldBytes < 0 {
		c.file.Errorf("held_bytes", "is %d, expected 0 or more", n.HeldBytes)
	}
	if !slices.Contains(levels, n.LogLevel) {
		c.file.Errorf("log_level", "is %q, expected one of %s", n.LogLevel, strings.Join(levels, ", "))
	}
}

var levels = []string{"debug", "info", "warn", "error"}

func (c *checker) required(field, value string) {
	if strings.TrimSpace(value) == "" {
		c.file.Errorf(field, "is missing, expected a name")
	}
}

func (c *checker) url(field, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		c.file.Errorf(field, "is %q, expected http://IP:port", value)
	}
}

func (c *checker) address(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.file.Errorf(field, "is %q, expected IP:port", value)
	}
}

func (c *checker) duration(field, value string) time.Duration {
	d, err := time.ParseDuration(value)
	if err != nil || d < 0 {
		c.file.Errorf(field, "is %q, expected a duration of 0s or more, such as 30s", value)
	}
	return d
}

func (c *checker) entry(services []string) {
	for i, s := range services {
		field := fmt.Sprintf("entry[%d]", i)
		c.required(field, s)
		if slices.Contains(services[:i], s) {
			c.file.Errorf(field, "%q is listed twice", s)
		}
	}
}

func (c *checker) security(n *Node) {
	if f := n.securityFault(); f != nil {
		c.file.Errorf(f.field, "%s", f.text)
	}
}
