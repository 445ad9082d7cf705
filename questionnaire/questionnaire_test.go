package questionnaire

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/core/strictyaml"
	"github.com/oleanderworks/oleanderworks/model"
)

var examples = []string{"../examples/trust.yaml", "../examples/cooperative.yaml"}

func readExample(t testing.TB, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	return text
}

// Guards against invalid examples, which operators would copy, and against examples in
// which the class that must be shed last, filing or order, is not last. The examples must
// also show one customer without an owner.
func TestExamplesAreAccepted(t *testing.T) {
	for _, path := range examples {
		q, err := Load(path)
		assert.NilError(t, err)
		assert.Equal(t, len(q.Customers), 8)
		assert.Equal(t, len(q.Zones), 3)
		assert.Equal(t, len(q.Services), 4)
		withoutOwner := 0
		for _, c := range q.Customers {
			if c.Owner == "" {
				withoutOwner++
			}
		}
		assert.Equal(t, withoutOwner, 1)
		last := q.Classes[len(q.Classes)-1]
		assert.Assert(t, last == "filing" || last == "order")
	}
}

// Guards against documents that differ between two runs, which would publish amendments
// although nothing changed, and against documents that nodes cannot decode.
func TestGeneratedDocumentsAreDeterministicAndDecodable(t *testing.T) {
	for _, path := range examples {
		q, err := Load(path)
		assert.NilError(t, err)
		first, err := Generate(q)
		assert.NilError(t, err)
		byName := make(map[string]model.Document)
		for _, d := range first {
			byName[d.Name] = d
		}
		assert.Equal(t, len(byName), 1+3+4+8)
		_, err = model.NewSnapshot(1, byName)
		assert.NilError(t, err)
		again, err := Generate(q)
		assert.NilError(t, err)
		assert.DeepEqual(t, first, again)
	}
}

// Guards against an invalid questionnaire that is accepted, and against an error that
// does not name the line, the field and the expected value.
func TestInvalidQuestionnairesAreRejected(t *testing.T) {
	cases := []struct {
		name, old, new, field, expected string
		line                            int // of the expected error in trust.yaml; 0 is the line of the changed text, -1 is not checked
	}{
		{"unknown field", "    slots: 160", "    slotz: 160", "slotz", "unknown field", 0},
		{"duplicate field", "    slots: 160", "    upstreams: 3", "upstreams", "already defined", 0},
		{"wrong type", "    slots: 160", "    slots: many", "slots", "int", 0},
		{"negative rate", "rate: 300,", "rate: -300,", "customers[2].rate", "above 0", 0},
		{"rate not a number", "rate: 300,", "rate: .nan,", "customers[2].rate", "above 0", 0},
		{"infinite burst", "burst: 150, owner", "burst: .inf, owner", "customers[2].burst", "1 or more", 0},
		{"fraction of a burst", "burst: 150, owner", "burst: 0.5, owner", "customers[2].burst", "1 or more", 0},
		{"duplicate customer", "name: ra-herders", "name: rewa-herders", "customers[2].name", "listed before", 0},
		{"duplicate zone", "name: nadi,", "name: suva,", "zones[1].name", "listed before", 0},
		{"duplicate route", "POST, prefix: /tallies", "GET, prefix: /tallies", "services[2].routes[1]", "listed twice", 0},
		{"unknown class", "class: filing, timeout: 10s}\n\n  - name: marking", "class: filling, timeout: 10s}\n\n  - name: marking", "services[2].routes[1].class", "one of the classes", 0},
		{"unknown service", "calls: [registry, archive]", "calls: [registry, archives]", "services[2].calls[1]", "one of the services", 0},
		{"calls itself", "calls: [archive]", "calls: [registry]", "services[1].calls[0]", "another", 0},
		{"unknown region", "burst: 150, owner", "burst: 150, home: atoll, owner", "customers[2].home", "one of the regions", 0},
		{"bad duration", "ramp_time: 15s", "ramp_time: fifteen", "services[2].ramp_time", "duration", 0},
		{"zero duration", "ramp_time: 15s", "ramp_time: 0s", "services[2].ramp_time", "duration", 0},
		{"empty list", "classes: [export, browse, lookup, filing]", "classes: []", "classes", "at least one", 0},
		{"floor above slots", "cold_floor: 16", "cold_floor: 161", "services[2].cold_floor", "1 to the 160 slots", 0},
		{"fewer connections than slots", "connections: 1100", "connections: 100", "services[2].connections", "at least the 160 slots", 0},
		{"no slots", "    slots: 160", "    slots: 0", "services[2].slots", "1 to", 0},
		{"bad method", "POST, prefix: /tallies", "SEND, prefix: /tallies", "services[2].routes[1].method", "one of", 0},
		{"bad prefix", "POST, prefix: /tallies", "POST, prefix: tallies", "services[2].routes[1].prefix", "starts with /", 0},
		{"bad name", "name: nadi,", "name: Nadi/1,", "zones[1].name", "a-z", 0},
		{"retry budget", "retry_budget: 2", "retry_budget: -1", "retry_budget", "0 to 10", 0},
		// The parser reports the unclosed list at the next field, on line 7.
		{"syntax", "classes: [export, browse, lookup, filing]", "classes: [export, browse", "", "", 7},
		{"second document", "retry_budget: 2", "---\nretry_budget: 2", "", "expected 1", -1},
	}
	text := readExample(t, examples[0])
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			at := bytes.Index(text, []byte(c.old))
			assert.Assert(t, at >= 0, "the example has no %q", c.old)
			invalid := strings.Replace(string(text), c.old, c.new, 1)
			line := c.line
			if line == 0 {
				line = 1 + bytes.Count(text[:at], []byte("\n"))
			}
			_, err := Parse("trust.yaml", []byte(invalid))
			var errs strictyaml.ErrorList
			assert.Assert(t, errors.As(err, &errs), "accepted")
			if line > 0 {
				assert.Equal(t, errs[0].Line, line, "%v", err)
			}
			if c.field != "" {
				assert.Equal(t, errs[0].Field, c.field, "%v", err)
			}
			assert.Assert(t, strings.Contains(errs[0].Message, c.expected), "%v", err)
		})
	}
	_, err := Parse("empty.yaml", nil)
	assert.ErrorContains(t, err, "empty.yaml")
}

// FuzzParse guards against a questionnaire that crashes the parser, and against one that
// is accepted although nodes cannot decode its documents.
func FuzzParse(f *testing.F) {
	for _, path := range examples {
		f.Add(readExample(f, path))
	}
	f.Add([]byte("team: a\nclasses: [a]\nzones: [{name: z, region: r}]\n"))
	f.Add([]byte("- a\n- b\n"))
	f.Add([]byte("services: [{calls: [[]]}]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		q, err := Parse("fuzz.yaml", text)
		if err != nil {
			return
		}
		documents, err := Generate(q)
		assert.NilError(t, err)
		b := model.NewSnapshotBuilder()
		for _, d := range documents {
			assert.Assert(t, json.Valid(d.Body))
			assert.NilError(t, b.SetDocument(d))
		}
	})
}
