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

// Guards against reporting a publication as accepted although a concurrent one was
// applied first, and against applying parts of a rejected publication.
func TestConflictingPublicationIsReported(t *testing.T) {
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
	assert.Equal(t, ben.Configuration().Document("customer/b").Version, uint64(0))
	assert.Equal(t, string(ben.Configuration().Document("customer/a").Body), `{"rate":2}`)
}

// Guards against appending and applying a record twice when the answer to an append is
// lost and another operator's records follow before the next append.
func TestRecordsWithLostAnswersAreFoundByID(t *testing.T) {
	ctx := context.Background()
	log := memlog.New(time.Now, time.Hour)
	ana, ben := NewClient(log, "ana"), NewClient(log, "ben")
	for i := range uint64(3) {
		log.SetFaults(memlog.Faults{LoseAnswers: 1})
		p, err := ana.Publish(ctx, []model.Amendment{amend("customer/a", i, `{}`)})
		assert.NilError(t, err)
		assert.Equal(t, p.Offset, logservice.Offset(2*i))
		_, err = ben.Publish(ctx, []model.Amendment{amend("customer/b", i, `{}`)})
		assert.NilError(t, err)
	}
	assert.Equal(t, log.Appends(), int64(6))
	assert.Equal(t, ben.Configuration().Document("customer/a").Version, uint64(3))
}

// Guards against a large publication that the log service refuses because of the size of
// its record.
func TestLargePublicationIsSplit(t *testing.T) {
	ctx := context.Background()
	log := memlog.New(time.Now, time.Hour)
	c := NewClient(log, "")
	body, err := json.Marshal(string(make([]byte, 10_000)))
	assert.NilError(t, err)
	var amendments []model.Amendment
	for i := range 40 {
		amendments = append(amendments, amend("customer/"+string(rune('a'+i%26))+string(rune('a'+i/26)), 0, string(body)))
	}
	_, err = c.Publish(ctx, amendments)
	assert.NilError(t, err)
	assert.Equal(t, c.Configuration().Len(), 40)
	assert.Assert(t, log.Appends() > 1)
}
