package event

import "github.com/hashicorp/go-hclog"

// Events of the limits on what the callers of a mesh node may hold.
var (
	MeshMemoryShort = define(1050, "mesh_memory_short", hclog.Warn,
		"A request was refused as not run, since the node had no memory for its head or body.",
		"If it repeats without a crowd of large bodies, give the instance more memory.")
	MeshConnectionClosed = define(1051, "mesh_connection_closed", hclog.Warn,
		"A caller's connection was closed: memory or connections were short, and it moved less than the minimum rate. The field state says whether it was to send, to read or idle.",
		"Look at the caller; if many are affected, at the network.")
	MeshConnectionRefused = define(1052, "mesh_connection_refused", hclog.Warn,
		"A caller's connection was closed at once, since the limit on connections or memory was reached and none could be closed for it.",
		"Find out which callers hold the connections.")
	MeshRequestTooLarge = define(1053, "mesh_request_too_large", hclog.Info,
		"A request was refused as not run, since its head (431) or its body (413) exceeds the limit.",
		"Tell the caller's owner, or raise the limit in the configuration.")
)
