package mesh

import (
	"slices"

	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/logservice/keyed"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/model/graph"
)

// Decoder reads the operator's documents.
type Decoder interface {
	// IsConfig reports whether a record holds the configuration.
	IsConfig(r keyed.Record) bool
	// Config decodes a configuration. The error names the object at fault.
	Config(value []byte) (*graph.Config, error)
	// Zones returns the availability zones that are out of service.
	ZonesOutOfService(records []keyed.Record) []model.Zone
}

// configReader turns the operator's documents into configurations. A document
// that does not decode leaves the version before in force.
type configReader struct {
	node   *Node
	offset int64 // of the newest configuration that was looked at, plus 1
	config *graph.Config
	out    []model.Zone
}

func (c *configReader) read(records []keyed.Record) {
	decoder := c.node.decoder
	for _, r := range records {
		if decoder.IsConfig(r) && r.Offset >= c.offset {
			c.offset = r.Offset + 1
			c.adopt(r)
		}
	}
	out := decoder.ZonesOutOfService(records)
	slices.Sort(out)
	if !slices.Equal(out, c.out) {
		c.node.log.Emit(event.MeshZonesOut, "zones", out)
	}
	c.out = out
	c.node.entry.Ring().Offer(configured{config: c.config, out: out})
	c.node.gate.Ring().Offer(gateConfigured{config: c.config, out: out})
}

func (c *configReader) adopt(r keyed.Record) {
	config, err := c.node.decoder.Config(r.Value)
	switch {
	case err != nil:
		c.node.log.Emit(event.MeshRecordRejected, "stream", keyed.StreamOperator, "key", r.Key, "offset", r.Offset, "detail", err)
	case c.config != nil && config.Version <= c.config.Version:
		c.node.log.Emit(event.MeshRecordRejected, "stream", keyed.StreamOperator, "key", r.Key, "offset", r.Offset,
			"detail", "its version is not newer", "version", config.Version, "known", c.config.Version)
	default:
		c.config = config
		c.node.log.Emit(event.MeshConfigured, "version", config.Version, "offset", r.Offset, "routes", len(config.Routes),
			"services", len(config.Services), "customers", len(config.Customers))
	}
}
