// Package publish amends the configuration in the log service on behalf of
// operators, and tells them whether their publication was accepted.
package publish

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/logservice"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/configlog"
	"github.com/oleanderworks/oleanderworks/policy/logappend"
)

const (
	// followWait is how long one read waits for the operator's own record.
	followWait = 2 * time.Second
	// maxBodyBytes bounds the amendments of one record. A larger publication
	// is split into several records, each accepted or not on its own.
	maxBodyBytes = 256 << 10
	// retryDelay separates reads that failed.
	retryDelay = 200 * time.Millisecond
)

// ErrConflict reports that another publication changed a document first.
var ErrConflict = errors.New("conflict")

// Publication is a publication as it was found in the log.
type Publication struct {
	configlog.Outcome
	Offset logservice.Offset
	Time   time.Time // log service's clock
}

// Client reads and amends the configuration. It is used by one thread.
type Client struct {
	log     logservice.Log
	author  string
	state   *configlog.State
	changed map[string]Publication // last accepted publication of each document
}

// NewClient returns a client. Author is shown in the history.
func NewClient(log logservice.Log, author string) *Client {
	return &Client{
		log:     log,
		author:  author,
		state:   configlog.NewState("", nil),
		changed: make(map[string]Publication),
	}
}

// State returns the configuration as of the last read.
func (c *Client) State() *configlog.State { return c.state }

// ReadToEnd reads from the last position to the end of the log. It calls each,
// unless nil, for every publication that it reads.
func (c *Client) ReadToEnd(ctx context.Context, each func(Publication)) error {
	for {
		page, err := c.read(ctx, 0, each)
		if err != nil {
			return err
		}
		if len(page.Records) == 0 {
			return nil
		}
	}
}

func (c *Client) read(ctx context.Context, wait time.Duration, each func(Publication)) (logservice.Page, error) {
	page, err := c.log.Read(ctx, model.ConfigStream, c.state.Next(), logservice.ReadOptions{Wait: wait})
	if err != nil {
		return page, err
	}
	c.state.SkipTo(page.Oldest)
	for _, r := range page.Records {
		// A malformed record is skipped, as every node does.
		outcome, _ := c.state.Apply(r, r.Time)
		p := Publication{Outcome: outcome, Offset: r.Offset, Time: r.Time}
		if outcome.Verdict == configlog.Accepted {
			c.note(p)
		}
		if each != nil {
			each(p)
		}
	}
	return page, nil
}

func (c *Client) note(p Publication) {
	for _, a := range p.Publication.Amendments {
		c.changed[a.Document] = p
	}
	for _, hash := range p.Publication.Withdraw {
		c.changed[model.DocumentName(model.KindKey, hash)] = p
	}
}

// Publish appends amendments and follows the log until it sees its own
// record. It returns the record, or an error that wraps ErrConflict and names
// the document. Amendments above the size of a record are split; an error
// then says how many records are in force.
func (c *Client) Publish(ctx context.Context, amendments []model.Amendment) (Publication, error) {
	var last Publication
	parts := split(amendments)
	for i, part := range parts {
		var err error
		last, err = c.publish(ctx, model.Publication{Amendments: part})
		if err != nil && i > 0 {
			return last, errors.Wrapf(err, "%d of %d records are in force", i, len(parts))
		}
		if err != nil {
			return last, err
		}
	}
	return last, nil
}

// Withdraw appends the withdrawal of a key, which cannot conflict.
func (c *Client) Withdraw(ctx context.Context, hash model.KeyHash) (Publication, error) {
	return c.publish(ctx, model.Publication{Withdraw: []string{hash.String()}})
}

func split(amendments []model.Amendment) [][]model.Amendment {
	var out [][]model.Amendment
	start, size := 0, 0
	for i, a := range amendments {
		n := len(a.Body) + len(a.Document)
		if i > start && size+n > maxBodyBytes {
			out = append(out, amendments[start:i])
			start, size = i, 0
		}
		size += n
	}
	return append(out, amendments[start:])
}

func (c *Client) publish(ctx context.Context, p model.Publication) (Publication, error) {
	p.ID = uuid.NewString()
	p.Author = c.author
	p.Time = time.Now()
	body, err := json.Marshal(p)
	if err != nil {
		return Publication{}, errors.Wrap(err, "encode publication")
	}
	record := &logappend.Record{Stream: model.ConfigStream, ID: p.ID, Body: body, From: c.state.Next()}
	if err := c.append(ctx, record); err != nil {
		return Publication{}, err
	}
	return c.await(ctx, p.ID)
}

// append drives the life of one record with blocking calls. After a lost
// answer the record is searched by its id before it is appended again.
func (c *Client) append(ctx context.Context, r *logappend.Record) error {
	var done bool
	var failure, latest error
	r.Done = func(_ logservice.Offset, err error) { done, failure = true, err }
	core := logappend.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), 1)
	if err := core.Add(time.Now(), r); err != nil {
		return err
	}
	for !done {
		next := core.Tick(time.Now())
		for _, a := range core.Actions() {
			if err := c.perform(ctx, core, a); err != nil {
				latest = err
			}
			next = time.Time{}
		}
		if err := sleepUntil(ctx, next); err != nil && !done {
			return errors.Wrapf(logservice.ErrUnavailable,
				"publication %s may or may not be in the log, see \"config history\" (%v)", r.ID, latest)
		}
	}
	return failure
}

func (c *Client) perform(ctx context.Context, core *logappend.Core, a logappend.Action) error {
	r := a.Record
	if a.Search {
		offset, found, err := logservice.Search(ctx, c.log, r.Stream, r.ID, r.From)
		core.OnSearch(time.Now(), r, offset, found, err)
		return err
	}
	offset, err := c.log.Append(ctx, r.Stream, r.ID, r.Body)
	core.OnAppend(time.Now(), r, offset, err)
	return err
}

// await follows the log until it sees the record with an id.
func (c *Client) await(ctx context.Context, id string) (Publication, error) {
	var own *Publication
	see := func(p Publication) {
		if own == nil && p.Publication.ID == id {
			own = &p
		}
	}
	for own == nil {
		if _, err := c.read(ctx, followWait, see); err != nil {
			if sleepUntil(ctx, time.Now().Add(retryDelay)) != nil {
				return Publication{}, errors.Wrapf(err, "publication %s is in the log, its fate is unknown", id)
			}
		}
	}
	if own.Verdict == configlog.Conflict {
		return *own, c.conflict(own)
	}
	return *own, nil
}

func (c *Client) conflict(own *Publication) error {
	by := ""
	if winner, ok := c.changed[own.Document]; ok {
		by = " by publication " + winner.Publication.ID
		if winner.Publication.Author != "" {
			by += " of " + winner.Publication.Author
		}
	}
	return errors.Wrapf(ErrConflict, "document %s was changed to version %d%s; nothing was published",
		own.Document, own.Current, by)
}

func sleepUntil(ctx context.Context, t time.Time) error {
	if t.IsZero() {
		return ctx.Err()
	}
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}
