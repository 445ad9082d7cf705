// Package mesh implements the sidecar node of a service call graph in which each
// instance holds a caller, a target and their node. A request enters at the node of
// its caller's instance and reaches a target only through that target's node. The
// node is the process of the subcommand "mesh"; it runs the entry, gate and peers
// duties of this package. Package agent and its other subpackages implement the node
// of the subcommand "node", which has quorum groups that grant claims and rate
// tokens. The nodes of this package have no quorum groups.
package mesh

import (
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/mesh/fleet"
	"github.com/oleanderworks/oleanderworks/policy/mesh/rollout"
)

const (
	// defaultGracePeriod is the grace period if the settings do not set one.
	defaultGracePeriod = 6 * time.Second
)

// Settings are the settings of one node.
type Settings struct {
	Name          string
	Instance      model.Instance // address at which other nodes reach this one, IP:port; also identifies the instance
	ListenAddress string         // address on which the node listens for links; empty if it is Instance
	Service       model.Service  // of the node's target
	Zone          model.Zone

	CallAddress     string // for callers and the target's own calls
	ReadyAddress    string // for readiness checks
	AnnounceAddress string // for the target's announcements
	MetricsAddress  string
	TargetAddress   string

	AnnounceInterval time.Duration // usual time between two announcements
	GracePeriod      time.Duration // from the signal to stop to the end of the process
	MemoryBytes      int64         // memory limit of the process; 0 for none

	Rollouts *rollout.Bounds // for orders to move services to other versions; nil if they are not carried out
}

// Advertise sets the address at which other nodes reach this one, if it differs
// from the address on which the node listens, for example behind a port
// forwarder. An empty address changes nothing.
func (s *Settings) Advertise(address string) error {
	if address == "" {
		return nil
	}
	if err := fleet.CheckAddress(model.Instance(address)); err != nil {
		return errors.Wrapf(err, "the advertised address is %q, want IP:port", address)
	}
	s.ListenAddress, s.Instance = s.linkListenAddress(), model.Instance(address)
	return nil
}

// linkListenAddress returns the address on which the node listens for links.
func (s *Settings) linkListenAddress() string {
	if s.ListenAddress != "" {
		return s.ListenAddress
	}
	return string(s.Instance)
}

// Check returns an error for the first setting that is missing or malformed. If all
// are valid, it fills in defaults.
func (s *Settings) Check() error {
	if s.Service == "" {
		return errors.New("the service is missing")
	}
	if s.Zone == "" {
		return errors.New("the availability zone is missing")
	}
	addresses := []struct{ name, address string }{
		{"the address for nodes", string(s.Instance)},
		{"the address for callers", s.CallAddress},
		{"the address for readiness", s.ReadyAddress},
		{"the address for announcements", s.AnnounceAddress},
		{"the address for metrics", s.MetricsAddress},
		{"the target's address", s.TargetAddress},
	}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a.address); err != nil {
			return errors.Wrapf(err, "%s is %q, want IP:port", a.name, a.address)
		}
	}
	if s.GracePeriod <= 0 {
		s.GracePeriod = defaultGracePeriod
	}
	return nil
}
