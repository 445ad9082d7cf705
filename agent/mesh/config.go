package mesh

import (
	"bytes"
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
	// RolloutOrders returns the orders to move services to other versions, and the error of
	// each record of an invalid one, by key.
	RolloutOrders(records []keyed.Record) (orders []model.RolloutOrder, invalid map[string]error)
	// RolloutStatuses returns the states of orders in records of keyed.StreamStatus.
	RolloutStatuses(records []keyed.Record) []model.RolloutStatus
	// EncodeRolloutStatus returns the key and the value of the record of an order's state.
	EncodeRolloutStatus(s model.RolloutStatus) (key string, value []byte, err error)
}

// configLoader decodes the operator's documents and passes the configuration and
// the availability zones that are out of service to the duties. If a configuration
// cannot be decoded or its version is not newer, the previous one stays in force.
type configLoader struct {
	node     *Node
	position model.LogPosition // of the configuration record that was seen last
	config   *graph.Config
	value    []byte // of the record with config
	zonesOut []model.Zone
	orders   []model.RolloutOrder
	end      model.LogPosition // up to which the documents with orders were read
	rejected map[string]string // invalid orders that were logged, by key

	// Whether the duties still have to be told of config and zonesOut.
	entryOutdated, gateOutdated bool

	// The configuration that was decoded last: a record is compared with the one in
	// force before it is loaded.
	decodedValue  []byte
	decodedConfig *graph.Config
	decodeError   error
}

func (c *configLoader) apply(records []keyed.Record, end model.LogPosition) {
	decoder := c.node.decoder
	for _, r := range records {
		if decoder.IsConfig(r) && (c.config == nil || r.Position != c.position) {
			c.load(r)
			c.position = r.Position
		}
	}
	zonesOut := decoder.ZonesOutOfService(records)
	slices.Sort(zonesOut)
	if !slices.Equal(zonesOut, c.zonesOut) {
		c.node.log.Emit(event.MeshZonesOut, "zones", zonesOut)
	}
	c.zonesOut = zonesOut
	c.loadOrders(records, end)
	c.entryOutdated, c.gateOutdated = true, true
	c.deliver()
}

// deliver passes the configuration to the duties that do not have it yet. A duty whose
// ring is full gets it with a later call.
func (c *configLoader) deliver() {
	if c.entryOutdated {
		c.entryOutdated = !c.node.entry.Ring().Offer(entryConfigChanged{config: c.config, zonesOut: c.zonesOut, orders: c.orders, end: c.end})
	}
	if c.gateOutdated {
		c.gateOutdated = !c.node.gate.Ring().Offer(gateConfigChanged{config: c.config, zonesOut: c.zonesOut})
	}
}

func (c *configLoader) load(r keyed.Record) {
	config, err := c.decode(r)
	switch {
	case err != nil:
		c.logRejected(r)
	case c.config == nil || config.Version > c.config.Version || c.replacesLost(r, config):
		c.config, c.value = config, r.Value
		c.node.log.Emit(event.MeshConfigured, "version", config.Version, "era", r.Position.Era, "offset", r.Position.Offset,
			"routes", len(config.Routes), "services", len(config.Services), "customers", len(config.Customers))
		for _, warning := range config.Warnings {
			c.node.log.Emit(event.MeshConfigWarning, "version", config.Version, "detail", warning)
		}
	case config.Version == c.config.Version && r.Position.Era != c.position.Era:
		// The operator has written the configuration in force again after a restore.
	default:
		c.logRejected(r)
	}
}

// replacesLost reports whether a record has another configuration with the version of the
// one in force, written since a restore of the log. The one in force was lost by the
// restore; the operator's next version builds on the one in the log.
func (c *configLoader) replacesLost(r keyed.Record, config *graph.Config) bool {
	return config.Version == c.config.Version && r.Position.Era > c.position.Era && !bytes.Equal(r.Value, c.value)
}

func (c *configLoader) decode(r keyed.Record) (*graph.Config, error) {
	if c.decodedValue == nil || !bytes.Equal(r.Value, c.decodedValue) {
		c.decodedValue = r.Value
		c.decodedConfig, c.decodeError = c.node.decoder.Config(r.Value)
	}
	return c.decodedConfig, c.decodeError
}

// version returns the version of the configuration in a record, or 0 if the record holds
// no valid one.
func (c *configLoader) version(r keyed.Record) uint64 {
	if !c.node.decoder.IsConfig(r) {
		return 0
	}
	config, err := c.decode(r)
	if err != nil {
		return 0
	}
	return config.Version
}

// logRejected logs a configuration that was not taken, since it is invalid or not newer
// than the one in force.
func (c *configLoader) logRejected(r keyed.Record) {
	config, err := c.decode(r)
	if err != nil {
		c.node.log.Emit(event.MeshRecordRejected, "stream", keyed.StreamOperator, "key", r.Key, "era", r.Position.Era,
			"offset", r.Position.Offset, "detail", err)
		return
	}
	c.node.log.Emit(event.MeshRecordRejected, "stream", keyed.StreamOperator, "key", r.Key, "era", r.Position.Era,
		"offset", r.Position.Offset, "detail", "the version is not newer than the one in force", "version", config.Version)
}
