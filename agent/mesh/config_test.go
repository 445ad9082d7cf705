package mesh

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/logservice/keyed"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/model/graph"
)

// limitDecoder decodes a configuration of two bytes, its version and a limit.
type limitDecoder struct{ versionDecoder }

func (limitDecoder) Config(value []byte) (*graph.Config, error) {
	return &graph.Config{Version: uint64(value[0]), Limits: graph.Limits{HeaderBytes: int(value[1])}}, nil
}

// Guards against a warning of the decoder that no log line shows.
func TestConfigWarningIsLogged(t *testing.T) {
	n, h := newIdleNode()
	var log bytes.Buffer
	n.log = event.New(hclog.New(&hclog.LoggerOptions{Level: hclog.Info, Output: &log}))
	n.decoder = warningDecoder{}
	h.loader.apply([]keyed.Record{{Key: "config", Value: []byte{7}, Position: model.LogPosition{Offset: 1}}}, model.LogPosition{Offset: 2})
	assert.Assert(t, strings.Contains(log.String(), "unknown type"), log.String())
}

// warningDecoder decodes a configuration with a warning.
type warningDecoder struct{ versionDecoder }

func (warningDecoder) Config(value []byte) (*graph.Config, error) {
	return &graph.Config{Version: uint64(value[0]), Warnings: []string{"unknown type"}}, nil
}

// Guards against a configuration that the log lost before it was acknowledged, and that
// stays in force although the restored log has another one with its version.
func TestRestoredLogDecidesBetweenConfigsOfOneVersion(t *testing.T) {
	n, h := newIdleNode()
	n.decoder = limitDecoder{}
	now := time.Now()
	read := func(limit byte, position model.LogPosition) {
		r := keyed.Record{Key: "config", Value: []byte{7, limit}, Position: position}
		end := model.LogPosition{Era: position.Era, Offset: position.Offset + 1}
		h.Handle(now, []peersMessage{documentsRead{answer: logAnswer{records: []keyed.Record{r}, end: end, complete: true, answeredAt: now}}})
		now = now.Add(2 * time.Second)
		h.Tick(now)
	}
	read(1, model.LogPosition{Era: 1, Offset: 5})
	read(2, model.LogPosition{Era: 2, Offset: 3})
	assert.Equal(t, h.loader.config.Limits.HeaderBytes, 2)
}
