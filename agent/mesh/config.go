package mesh

import (
	"slices"

	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/logservice/keyed"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/model/graph"
)

// Decoder decodes the operator's documents.
type Decoder interface {
	// IsConfig reports whether a record holds the configuration.
	IsConfig(r keyed.Record) bool
	// Config decodes a configuration. The error names the invalid object.
	Config(value []byte) (*graph.Config, error)
	// ZonesOutOfService returns the availability zones that are out of service.
	ZonesOutOfService(records []keyed.Record) []model.Zone
}

// configLoader decodes the operator's documents and passes the configuration and
// the availability zones that are out of service to the duties. If a configuration
// cannot be decoded or its version is not newer, the previous one stays in force.
type configLoader struct {
	node       *Node
	nextOffset int64 // offset after the newest configuration record seen
	config     *graph.Config
	zonesOut   []model.Zone
}

func (c *configLoader) apply(records []keyed.Record) {
	decoder := c.node.decoder
	for _, r := range records {
		if decoder.IsConfig(r) && r.Offset >= c.nextOffset {
			c.nextOffset = r.Offset + 1
			c.load(r)
		}
	}
	zonesOut := decoder.ZonesOutOfService(records)
	slices.Sort(zonesOut)
	if !slices.Equal(zonesOut, c.zonesOut) {
		c.node.log.Emit(event.MeshZonesOut, "zones", zonesOut)
	}
	c.zonesOut = zonesOut
	c.node.entry.Ring().Offer(entryConfigChanged{config: c.config, zonesOut: zonesOut})
	c.node.gate.Ring().Offer(gateConfigChanged{config: c.config, zonesOut: zonesOut})
}

func (c *configLoader) load(r keyed.Record) {
	config, err := c.node.decoder.Config(r.Value)
	switch {
	case err != nil:
		c.node.log.Emit(event.MeshRecordRejected, "stream", keyed.StreamOperator, "key", r.Key, "offset", r.Offset, "detail", err)
	case c.config != nil && config.Version <= c.config.Version:
		c.node.log.Emit(event.MeshRecordRejected, "stream", keyed.StreamOperator, "key", r.Key, "offset", r.Offset,
			"detail", "the version is not newer than the one in force", "version", config.Version, "known", c.config.Version)
	default:
		c.config = config
		c.node.log.Emit(event.MeshConfigured, "version", config.Version, "offset", r.Offset, "routes", len(config.Routes),
			"services", len(config.Services), "customers", len(config.Customers))
	}
}
