package fleet

import (
	"net/netip"

	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/model"
)

// broadcast is the IPv4 address of all hosts of the local network.
var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// CheckAddress returns an error unless id can be the address of one node: a unicast IP
// address and a port, in the spelling of package netip. With a single spelling, a node is
// not taken for several nodes.
func CheckAddress(id model.Instance) error {
	address, err := netip.ParseAddrPort(string(id))
	if err != nil {
		return errors.Wrap(err, "address of a node")
	}
	ip := address.Addr()
	switch {
	case address.Port() == 0:
		return errors.Errorf("address of a node: %q has port 0", id)
	case ip.IsUnspecified() || ip.IsMulticast() || ip == broadcast:
		return errors.Errorf("address of a node: %q is not a unicast address", id)
	case netip.AddrPortFrom(ip.Unmap(), address.Port()).String() != string(id):
		return errors.Errorf("address of a node: %q is not spelled canonically", id)
	}
	return nil
}
