// Package settings reads the YAML settings file of a node.
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

	TargetURL   string `yaml:"target"`       // URL of the target, http://host:port; Parse also accepts https, which transport/target rejects
	CallAddress string `yaml:"call_address"` // address for callers
	SubAddress  string `yaml:"sub_address"`  // address for sub-calls from the node's own target; should be a loopback address, which Parse does not check
	PeerAddress string `yaml:"peer_address"` // address for other nodes
	OpsAddress  string `yaml:"ops_address"`  // address for operators

	LogURL        string   `yaml:"log"`   // URL of the log service
	Peers         []string `yaml:"peers"` // initial peers, used while the node has no links to other nodes
	EntryServices []string `yaml:"entry"` // services to which this node routes calls of callers; its own by default

	DrainTime  time.Duration `yaml:"-"`          // how long a shutdown waits for running calls; drain_time in the file
	LogLevel   string        `yaml:"log_level"`  // debug, info, warn or error
	ByteBudget int64         `yaml:"held_bytes"` // limit on the bytes of requests and answers in memory; 0 for 256 MiB
	Insecure   bool          `yaml:"insecure"`   // plain TCP instead of TLS between nodes
	TLS        *TLS          `yaml:"tls"`        // mutual TLS between nodes
}

// TLS names the PEM files for mutual TLS between nodes.
type TLS struct {
	Certificate string `yaml:"certificate"` // one of its DNS names must be the instance
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"` // CA certificates; the certificate chains of peers must end in one of them
}

// DefaultDrainTime is the drain time if the settings specify none.
const DefaultDrainTime = 30 * time.Second

// Load reads and checks a settings file. If the file could be read, the error is a
// strictyaml.ErrorList.
func Load(path string) (*Node, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(path, text)
}

// Parse decodes and checks settings. Errors name the file as name.
func Parse(name string, text []byte) (*Node, error) {
	parsed := &settingsFile{Node: Node{LogLevel: "info"}, DrainTime: DefaultDrainTime.String()}
	file, err := strictyaml.Decode(name, text, parsed)
	if err != nil {
		return nil, err
	}
	c := checker{file: file}
	parsed.Node.DrainTime = c.parseDuration("drain_time", parsed.DrainTime)
	c.checkAll(&parsed.Node)
	if err := file.Err(); err != nil {
		return nil, err
	}
	return &parsed.Node, nil
}

// settingsFile is the form of the settings in the file, with the drain time as text.
type settingsFile struct {
	Node      `yaml:",inline"`
	DrainTime string `yaml:"drain_time"`
}

// checker reports the errors that decoding into typed fields does not detect.
type checker struct{ file *strictyaml.File }

func (c *checker) checkAll(n *Node) {
	c.checkRequired("instance", n.Instance)
	c.checkRequired("service", n.Service)
	c.checkRequired("zone", n.Zone)
	c.checkRequired("region", n.Region)
	c.checkURL("target", n.TargetURL)
	c.checkURL("log", n.LogURL)
	c.checkAddress("call_address", n.CallAddress)
	c.checkAddress("sub_address", n.SubAddress)
	c.checkAddress("peer_address", n.PeerAddress)
	c.checkAddress("ops_address", n.OpsAddress)
	for i, peer := range n.Peers {
		c.checkAddress(fmt.Sprintf("peers[%d]", i), peer)
	}
	c.checkEntryServices(n.EntryServices)
	c.checkSecurity(n)
	if n.ByteBudget < 0 {
		c.file.Errorf("held_bytes", "is %d, expected 0 or more", n.ByteBudget)
	}
	if !slices.Contains(logLevels, n.LogLevel) {
		c.file.Errorf("log_level", "is %q, expected one of %s", n.LogLevel, strings.Join(logLevels, ", "))
	}
}

var logLevels = []string{"debug", "info", "warn", "error"}

func (c *checker) checkRequired(field, value string) {
	if strings.TrimSpace(value) == "" {
		c.file.Errorf(field, "is missing, expected a name")
	}
}

func (c *checker) checkURL(field, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		c.file.Errorf(field, "is %q, expected http://host:port", value)
	}
}

func (c *checker) checkAddress(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.file.Errorf(field, "is %q, expected IP:port", value)
	}
}

func (c *checker) parseDuration(field, value string) time.Duration {
	d, err := time.ParseDuration(value)
	if err != nil || d < 0 {
		c.file.Errorf(field, "is %q, expected a duration of 0s or more, such as 30s", value)
	}
	return d
}

func (c *checker) checkEntryServices(services []string) {
	for i, s := range services {
		field := fmt.Sprintf("entry[%d]", i)
		c.checkRequired(field, s)
		if slices.Contains(services[:i], s) {
			c.file.Errorf(field, "%q is listed twice", s)
		}
	}
}

func (c *checker) checkSecurity(n *Node) {
	if fieldErr := n.securityError(); fieldErr != nil {
		c.file.Errorf(fieldErr.field, "%s", fieldErr.message)
	}
}
