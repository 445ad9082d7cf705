package settings

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const validSettings = `instance: tally-1
service: tally
zone: suva
region: viti-levu
target: http://127.0.0.1:8080
call_address: 10.0.0.1:7000
sub_address: 127.0.0.1:7001
peer_address: 10.0.0.1:7002
ops_address: 10.0.0.1:7003
log: http://10.0.0.9:9100
peers: [10.0.0.2:7002]
entry: [tally, registry]
drain_time: 20s
insecure: true
`

// Guards against invalid settings that are accepted, so that a node starts with
// addresses or services other than intended.
func TestInvalidSettingsAreRejected(t *testing.T) {
	_, err := Parse("node.yaml", []byte(validSettings))
	assert.NilError(t, err)
	cases := []struct{ old, new, want string }{
		{"instance: tally-1\n", "", "node.yaml:1: instance: is missing"},
		{"zone: suva", "zoned: suva", "node.yaml:3: zoned: unknown field"},
		{"target: http://", "target: ", `node.yaml:5: target: is "127.0.0.1:8080", expected http://host:port`},
		{"10.0.0.1:7002", "somehost:7002", "node.yaml:8: peer_address: is \"somehost:7002\", expected IP:port"},
		{"[10.0.0.2:7002]", "[10.0.0.2]", "node.yaml:11: peers[0]"},
		{"[tally, registry]", "[tally, tally]", "node.yaml:12: entry[1]"},
		{"drain_time: 20s", "drain_time: soon", "node.yaml:13"},
		{"drain_time: 20s", "drain_time: -1s", "node.yaml:13: drain_time"},
		{"insecure: true", "log_level: loud", "node.yaml:14: log_level"},
	}
	for _, c := range cases {
		_, err := Parse("node.yaml", []byte(strings.Replace(validSettings, c.old, c.new, 1)))
		assert.ErrorContains(t, err, c.want)
	}
}

// Guards against an invalid example, which operators would copy.
func TestExampleIsAccepted(t *testing.T) {
	n, err := Load("../examples/node.yaml")
	assert.NilError(t, err)
	assert.Equal(t, n.DrainTime, DefaultDrainTime)
}

// FuzzParse guards against settings that crash the parser.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("peers: [[1]]"))
	f.Add([]byte("drain_time: {a: b}"))
	f.Fuzz(func(_ *testing.T, text []byte) { _, _ = Parse("fuzz.yaml", text) })
}
