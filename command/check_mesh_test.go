package command

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const meshConfig = `{"version":7,"routes":[{"name":"r1","host":"h","path_prefix":"/","type":"idempotent",
 "timeout":"1s","slo":"1s","service":"s1","attempts":1}],"services":[{"name":"s1"}],
 "tenants":[{"name":"t1","api_keys":["secret"],"rate_per_s":10,"burst":10}]}`

// Guards against exit codes that mislead a script that sends a configuration after the check.
func TestCheckMeshExitCodes(t *testing.T) {
	folder := t.TempDir()
	write := func(name, before, after string) string {
		path := filepath.Join(folder, name)
		assert.NilError(t, os.WriteFile(path, []byte(strings.Replace(meshConfig, before, after, 1)), 0o600))
		return path
	}
	valid := write("valid", "", "")
	newer := write("newer", `"version":7`, `"version":8`)
	warned := write("warned", `"burst":10`, `"burst":0`)
	faulty := write("faulty", `"attempts":1`, `"attempts":0`)
	broken := write("broken", `"tenants":[`, `"tenants":`)
	undecoded := write("undecoded", `"burst":10`, `"burst":"x"`)
	for _, c := range []struct {
		code int
		want string
		args []string
	}{
		{0, "", []string{valid}},
		{0, "change: document: version 7 -> 8\n", []string{newer, "--against", valid}},
		{1, "warning: customer 0", []string{warned}},
		{2, "error: route 0", []string{faulty}},
		{2, "error: document: version 7", []string{valid, "--against", newer}},
		{2, "error: customer 0", []string{undecoded}},
		{3, "not JSON", []string{broken}},
		{3, "no such file", []string{filepath.Join(folder, "missing")}},
		{3, "no such file", []string{valid, "--against", filepath.Join(folder, "missing")}},
		{3, "cannot be decoded", []string{valid, "--against", undecoded}},
		{3, "one file name", nil},
	} {
		var out bytes.Buffer
		code := Run(context.Background(), append([]string{"config", "check-mesh"}, c.args...), &out, &out)
		assert.Equal(t, code, c.code, "%v: %s", c.args, out.String())
		assert.Assert(t, strings.Contains(out.String(), c.want), out.String())
		assert.Assert(t, !strings.Contains(out.String(), "secret"), out.String())
	}
}
