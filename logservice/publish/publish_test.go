package publish

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/logservice/memlog"
	"github.com/oleanderworks/oleanderworks/model"
)

func amend(name string, base uint64, body string) model.Amendment {
	return model.Amendment{Document: name, Base: base, Body: json.RawMessage(body)}
}

// Guards against an operator who is told "accepted" although another won, and
// against a race that leaves parts of both changes in force.
func TestLoserOfRaceIsTold(t *testing.T) {
	ctx := context.Background()
	log := memlog.New(time.Now, time.Hour)
	ana, ben := NewClient(log, "ana"), NewClient(log, "ben")
	_, err := ana.Publish(ctx, []model.Amendment{amend("customer/a", 0, `{"rate":1}`)})
	assert.NilError(t, err)
	assert.NilError(t, ben.ReadToEnd(ctx, nil))

	won, err := ana.Publish(ctx, []model.Amendment{amend("customer/a", 1, `{"rate":2}`)})
	assert.NilError(t, err)
	_, err = ben.Publish(ctx, []model.Amendment{amend("customer/b", 0, `{}`), amend("customer/a", 1, `{"rate":3}`)})
	assert.ErrorIs(t, err, ErrConflict)
	assert.ErrorContains(t, err, "document customer/a was changed to version 2 by publication "+won.Publication.ID+" of ana")
	assert.Equal(t, ben.State().Document("customer/b").Version, uint64(0))
	assert.Equal(t, string(ben.State().Document("customer/a").Body), `{"rate":2}`)
}

// Guards against a second application when several answers in a row are
// lost, with another operator's record in between.
func TestLostAnswersAreFoundByID(t *testing.T) {
	ctx := context.Background()
	log := memlog.New(time.Now, time.Hour)
	ana, ben := NewClient(log, "ana"), NewClient(log, "ben")
	for i := range uint64(3) {
		log.SetFaults(memlog.Faults{LostAnswers: 1})
		p, err := ana.Publish(ctx, []model.Amendment{amend("customer/a", i, `{}`)})
		assert.NilError(t, err)
		assert.Equal(t, p.Offset, logservice.Offset(2*i))
		_, err = ben.Publish(ctx, []model.Amendment{amend("customer/b", i, `{}`)})
		assert.NilError(t, err)
	}
	assert.Equal(t, log.Appends(), int64(6))
	assert.Equal(t, ben.State().Document("customer/a").Version, uint64(3))
}

// Guards against a publication above the size of a record, which the log
// service refuses.
func TestLargePublicationIsSplit(t *testing.T) {
	ctx := context.Background()
	log := memlog.New(time.Now, time.Hour)
	c := NewClient(log, "")
	body, err := json.Marshal(string(make([]byte, 10_000)))
	assert.NilError(t, err)
	var all []model.Amendment
	for i := range 40 {
		all = append(all, amend("customer/"+string(rune('a'+i%26))+string(rune('a'+i/26)), 0, string(body)))
	}
	_, err = c.Publish(ctx, all)
	assert.NilError(t, err)
	assert.Equal(t, c.State().Len(), 40)
	assert.Assert(t, log.Appends() > 1)
}
