package mesh

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/logservice/keyed"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/mesh/poison"
)

// Guards against records of refused requests that other nodes read differently, or that are
// taken for addresses of nodes.
func TestPoisonRecordsAreReadAsWritten(t *testing.T) {
	n, _ := newIdleNode()
	written := []poison.Record{{Fingerprint: 7, Refused: true, Age: 1500 * time.Millisecond}, {Fingerprint: 1 << 63}}
	records := []keyed.Record{{Key: "10.0.0.2:7000", Value: []byte("{}")}}
	for _, r := range written {
		key, value, err := encodePoisonRecord(r)
		assert.NilError(t, err)
		records = append(records, keyed.Record{Key: key, Value: value})
	}
	addresses, read := n.splitNodeRecords(records)
	assert.DeepEqual(t, addresses, records[:1])
	assert.DeepEqual(t, read, written)
}

// Guards against an invalid record of another writer that makes the node refuse requests,
// or that hides the records beside it.
func TestInvalidPoisonRecordLeavesOthers(t *testing.T) {
	n, _ := newIdleNode()
	var records []keyed.Record
	for key, value := range map[string]string{
		"refused/": `{}`, "refused/7": `{}`, "refused/000000000000000g": `{}`, "refused/00000000000000007": `{}`,
		"refused/0000000000000001": `{`, "refused/0000000000000002": `{"age_ms":"1"}`, "refused/0000000000000003": `{"age_ms":-1}`,
		"refused/0000000000000004": `{"age_ms":9223372036854775807}`, "refused/0000000000000005": "\xff",
		"refused/000000000000000a": `{"age_ms":20,"more":1}`,
	} {
		records = append(records, keyed.Record{Key: key, Value: []byte(value)})
	}
	addresses, read := n.splitNodeRecords(records)
	assert.Equal(t, len(addresses), 0)
	assert.DeepEqual(t, read, []poison.Record{{Fingerprint: 10, Refused: true, Age: 20 * time.Millisecond}})
}

// Guards against a refused request of which the log gets no record.
func TestRefusedRequestIsPassedToWriter(t *testing.T) {
	now := time.Now()
	h, _ := newEntryHandler(t, now)
	own := &model.NodeReport{NodeInfo: model.NodeInfo{Node: h.node.id}, Crashes: []model.CrashReport{{Fingerprint: 7, Count: 3}}}
	h.Handle(now, []entryMessage{reportReceived{report: own}})
	h.Tick(now)
	assert.DeepEqual(t, drain(t, h.node.poisonWriter.records), []poison.Record{{Fingerprint: 7, Refused: true}})
}
