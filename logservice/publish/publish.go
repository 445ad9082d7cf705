// Package publish is the client with which operators change the configuration in the
// log service. It reports whether a publication was accepted or was in conflict with
// another one.
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
	// readWait is how long one read waits for new records while the client looks for its own.
	readWait = 2 * time.Second
	// maxAmendmentBytes limits the total size of the amendments in one record, unless a
	// single amendment is larger. It is below logservice.MaxRecordBytes to leave room
	// for the other fields and the JSON encoding. A larger publication is split into
	// several records, each of which is accepted or refused on its own.
	maxAmendmentBytes = 256 << 10
	// retryDelay is the delay after a failed read.
	retryDelay = 200 * time.Millisecond
)

// ErrConflict reports that another publication changed one of the documents first.
var ErrConflict = errors.New("conflict")

// PublicationResult is a publication read from the log, with its outcome.
type PublicationResult struct {
	configlog.Outcome
	Offset logservice.Offset
	Time   time.Time // by the log service's clock
}

// Client reads and changes the configuration. It is not safe for concurrent use.
type Client struct {
	log         logservice.Log
	author      string
	config      *configlog.Configuration
	lastChanges map[string]PublicationResult // last accepted publication of each document
}

// NewClient returns a client. Its publications name the author.
func NewClient(log logservice.Log, author string) *Client {
	return &Client{
		log:         log,
		author:      author,
		config:      configlog.NewConfiguration("", nil),
		lastChanges: make(map[string]PublicationResult),
	}
}

// Configuration returns the configuration as of the last read.
func (c *Client) Configuration() *configlog.Configuration { return c.config }

// ReadToEnd reads from the last position to the end of the log. It calls
// onPublication, unless nil, for every publication that it reads.
func (c *Client) ReadToEnd(ctx context.Context, onPublication func(PublicationResult)) error {
	for {
		page, err := c.readPage(ctx, 0, onPublication)
		if err != nil {
			return err
		}
		if len(page.Records) == 0 {
			return nil
		}
	}
}

func (c *Client) readPage(ctx context.Context, wait time.Duration, onPublication func(PublicationResult)) (logservice.Page, error) {
	page, err := c.log.Read(ctx, model.ConfigStream, c.config.NextOffset(), logservice.ReadOptions{Wait: wait})
	if err != nil {
		return page, err
	}
	c.config.SkipTo(page.Oldest)
	for _, r := range page.Records {
		// Malformed records are skipped, as nodes skip them.
		outcome, _ := c.config.Apply(r, r.Time)
		p := PublicationResult{Outcome: outcome, Offset: r.Offset, Time: r.Time}
		if outcome.Verdict == configlog.Accepted {
			c.recordChange(p)
		}
		if onPublication != nil {
			onPublication(p)
		}
	}
	return page, nil
}

func (c *Client) recordChange(p PublicationResult) {
	for _, a := range p.Publication.Amendments {
		c.lastChanges[a.Document] = p
	}
	for _, hash := range p.Publication.Withdraw {
		c.lastChanges[model.DocumentName(model.KindKey, hash)] = p
	}
}

// Publish appends amendments and reads the log until it finds its own record, which it
// returns. If another publication changed a document first, the error wraps ErrConflict
// and names the document. If the amendments together exceed maxAmendmentBytes, Publish
// appends several records, stops at the first that fails, and otherwise returns the last
// one. If earlier records were accepted, the error says how many are in force.
func (c *Client) Publish(ctx context.Context, amendments []model.Amendment) (PublicationResult, error) {
	var last PublicationResult
	parts := splitByRecordSize(amendments)
	for i, part := range parts {
		var err error
		last, err = c.publishRecord(ctx, model.Publication{Amendments: part})
		if err != nil && i > 0 {
			return last, errors.Wrapf(err, "%d of %d records are in force", i, len(parts))
		}
		if err != nil {
			return last, err
		}
	}
	return last, nil
}

// Withdraw appends the withdrawal of a key. It cannot be in conflict.
func (c *Client) Withdraw(ctx context.Context, hash model.KeyHash) (PublicationResult, error) {
	return c.publishRecord(ctx, model.Publication{Withdraw: []string{hash.String()}})
}

func splitByRecordSize(amendments []model.Amendment) [][]model.Amendment {
	var parts [][]model.Amendment
	start, size := 0, 0
	for i, a := range amendments {
		n := len(a.Body) + len(a.Document)
		if i > start && size+n > maxAmendmentBytes {
			parts = append(parts, amendments[start:i])
			start, size = i, 0
		}
		size += n
	}
	return append(parts, amendments[start:])
}

func (c *Client) publishRecord(ctx context.Context, p model.Publication) (PublicationResult, error) {
	p.ID = uuid.NewString()
	p.Author = c.author
	p.Time = time.Now()
	body, err := json.Marshal(p)
	if err != nil {
		return PublicationResult{}, errors.Wrap(err, "encode publication")
	}
	record := &logappend.Record{Stream: model.ConfigStream, ID: p.ID, Body: body, From: c.config.NextOffset()}
	if err := c.appendRecord(ctx, record); err != nil {
		return PublicationResult{}, err
	}
	return c.awaitRecord(ctx, p.ID)
}

// appendRecord appends a record with blocking calls, as package logappend decides: after
// a lost answer it searches the log for the record's id before it appends again.
func (c *Client) appendRecord(ctx context.Context, r *logappend.Record) error {
	var done bool
	var finalErr, lastErr error
	r.Done = func(_ logservice.Offset, err error) { done, finalErr = true, err }
	core := logappend.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), 1)
	if err := core.Add(time.Now(), r); err != nil {
		return err
	}
	for !done {
		next := core.Tick(time.Now())
		for _, action := range core.Actions() {
			if err := c.perform(ctx, core, action); err != nil {
				lastErr = err
			}
			next = time.Time{}
		}
		if err := sleepUntil(ctx, next); err != nil && !done {
			return errors.Wrapf(logservice.ErrUnavailable,
				"publication %s may or may not be in the log, see \"config history\" (%v)", r.ID, lastErr)
		}
	}
	return finalErr
}

func (c *Client) perform(ctx context.Context, core *logappend.Core, action logappend.Action) error {
	r := action.Record
	if action.Search {
		offset, found, err := logservice.FindRecord(ctx, c.log, r.Stream, r.ID, r.From)
		core.OnSearch(time.Now(), r, offset, found, err)
		return err
	}
	offset, err := c.log.Append(ctx, r.Stream, r.ID, r.Body)
	core.OnAppend(time.Now(), r, offset, err)
	return err
}

// awaitRecord reads the log until it finds the publication with an id. If that was in
// conflict, the error wraps ErrConflict and names the other publication if it is known.
func (c *Client) awaitRecord(ctx context.Context, id string) (PublicationResult, error) {
	var own *PublicationResult
	onPublication := func(p PublicationResult) {
		if own == nil && p.Publication.ID == id {
			own = &p
		}
	}
	for own == nil {
		if _, err := c.readPage(ctx, readWait, onPublication); err != nil {
			if sleepUntil(ctx, time.Now().Add(retryDelay)) != nil {
				return PublicationResult{}, errors.Wrapf(err, "publication %s is in the log, but whether it was accepted is unknown", id)
			}
		}
	}
	if own.Verdict == configlog.Conflict {
		return *own, c.conflictError(own)
	}
	return *own, nil
}

func (c *Client) conflictError(own *PublicationResult) error {
	changedBy := ""
	if change, ok := c.lastChanges[own.Document]; ok {
		changedBy = " by publication " + change.Publication.ID
		if change.Publication.Author != "" {
			changedBy += " of " + change.Publication.Author
		}
	}
	return errors.Wrapf(ErrConflict, "document %s was changed to version %d%s; nothing was published",
		own.Document, own.Current, changedBy)
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
