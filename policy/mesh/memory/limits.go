package memory

const (
	// baseBytes is the memory of a node that holds nothing for others: the program, the
	// duties, and the state and links of a large fleet.
	baseBytes = 32 << 20
	// heapPercent is the share of a process's memory that the heap may take. The rest is
	// for the program itself and for garbage that is not collected yet.
	heapPercent = 70
	// connectionBytes is the memory of a connection: buffers, stacks, a small request and
	// its answer.
	connectionBytes = 32 << 10
	// defaultBytes is the size of the account if the memory of the process is not limited.
	defaultBytes = 256 << 20
	// connectionShare is the part of the account and of the descriptors that connections of
	// callers may take, and addressPercent the part of them for one address of the node, so
	// that a crowd at one leaves connections for the readiness check, the target's
	// announcements and the callers.
	connectionShare, addressPercent = 2, 75
)

// Limits bounds an account.
type Limits struct {
	Bytes              int64
	Connections        int
	AddressConnections int   // to one address of the node
	ConnectionBytes    int64 // charged for each connection; covers a small request and its answer
}

// NewLimits returns the limits of a process that may use memoryBytes, 0 for no limit, and a
// number of descriptors.
func NewLimits(memoryBytes int64, descriptors uint64) Limits {
	l := Limits{Bytes: defaultBytes, ConnectionBytes: connectionBytes}
	if memoryBytes > 0 {
		// Small tests have less memory than baseBytes.
		l.Bytes = max(memoryBytes*heapPercent/100-baseBytes, memoryBytes/4)
	}
	l.Connections = int(min(descriptors/connectionShare, uint64(l.Bytes/connectionShare/connectionBytes)))
	l.AddressConnections = l.Connections * addressPercent / 100
	return l
}
