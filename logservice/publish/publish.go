// Package publish provides the client with which operators change the configuration in
// the log service. It reports whether a publication was accepted or rejected because of
// a conflict with another one.
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
	"github.com/oleanderworks/oleanderworks/policy/node/configlog"
	"github.com/oleanderworks/oleanderworks/policy/node/logappend"
)

const (
	// readWait is how long a read waits for new records while the client searches for
	// its own record.
	readWait = 2 * time.Second
	// maxAmendmentBytes limits the total size of the amendments in one record, unless a
	// single amendment is larger. A larger publication is split into several records,
	// each of which is accepted or rejected independently. The limit is lower than
	// logservice.MaxRecordBytes to leave room for the other fields and the JSON
	// encoding.
	maxAmendmentBytes = 256 << 10
	// retryDelay is the delay after a failed read.
	retryDelay = 200 * time.Millisecond
)

// ErrConflict reports that another publication has changed one of the documents.
var ErrConflict = errors.New("conflict")

// PublicationResult is a publication that was read from the log, and its outcome.
type PublicationResult struct {
	configlog.Outcome
	Offset logservice.Offset
	Time   time.Time // by the log service's clock
}

// Client reads and changes the configuration in the log. It is not safe for concurrent
// use.
type Client struct {
	log         logservice.Log
	author      string
	config      *configlog.Configuration
	lastChanges map[string]PublicationResult // latest accepted publication that changed each document
}

// NewClient returns a client whose publications name the author.
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

// ReadToEnd reads the log from the last position to the end. It calls onPublication, if
// that is not nil, for every record that it reads.
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
		// Malformed records are skipped, as they are by nodes.
		outcome, _ := c.config.Apply(r, r.Time)
		p := PublicationResult{Outcome: outcome, Offset: r.Offset, Time: r.Time}
		if outcome.Verdict == configlog.Accepted {
			c.addLastChange(p)
		}
		if onPublication != nil {
			onPublication(p)
		}
	}
	return page, nil
}

func (c *Client) addLastChange(p PublicationResult) {
	for _, a := range p.Publication.Amendments {
		c.lastChanges[a.Document] = p
	}
	for _, hash := range p.Publication.Withdraw {
		c.lastChanges[model.DocumentName(model.KindKey, hash)] = p
	}
}

// Publish appends amendments and reads the log until it finds their record, which it
// returns. If another publication changed a document first, the error wraps ErrConflict
// and names the document.
//
// If the amendments together exceed maxAmendmentBytes, Publish appends several records
// and returns the last one. It stops at the first that fails; the error then says how
// many earlier records are in force.
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

// Withdraw appends the withdrawal of a key, which is never rejected.
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

// appendRecord appends a record. It carries out the actions of a logappend.Core with
// blocking calls: after a lost answer it searches the log for the record's id before it
// appends again.
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

// awaitRecord reads the log until it finds the publication with the given id. If that was
// rejected, the error wraps ErrConflict and names the other publication if it is known.
func (c *Client) awaitRecord(ctx context.Context, id string) (PublicationResult, error) {
	var found *PublicationResult
	onPublication := func(p PublicationResult) {
		if found == nil && p.Publication.ID == id {
			found = &p
		}
	}
	for found == nil {
		if _, err := c.readPage(ctx, readWait, onPublication); err != nil {
			if sleepUntil(ctx, time.Now().Add(retryDelay)) != nil {
				return PublicationResult{}, errors.Wrapf(err, "publication %s is in the log, but whether it was accepted is unknown", id)
			}
		}
	}
	if found.Verdict == configlog.Conflict {
		return *found, c.conflictError(found)
	}
	return *found, nil
}

func (c *Client) conflictError(failed *PublicationResult) error {
	changedBy := ""
	if change, ok := c.lastChanges[failed.Document]; ok {
		changedBy = " by publication " + change.Publication.ID
		if change.Publication.Author != "" {
			changedBy += " of " + change.Publication.Author
		}
	}
	return errors.Wrapf(ErrConflict, "document %s was changed to version %d%s; no amendment of the record was applied",
		failed.Document, failed.Current, changedBy)
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
