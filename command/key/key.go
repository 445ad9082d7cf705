// Package key implements the subcommand "key".
package key

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/command/internal/operator"
	"github.com/oleanderworks/oleanderworks/logservice/publish"
	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// keyBytes is the length of the random part of a key: 256 bits.
	keyBytes = 32
	// keyPrefix distinguishes a key from a hash, which consists only of hexadecimal
	// digits.
	keyPrefix = "ow_"
)

// New returns the subcommand, which writes keys and results to stdout.
func New(stdin io.Reader, stdout io.Writer) *ff.Command {
	return &ff.Command{
		Name:        "key",
		Usage:       "oleanderworks key issue|withdraw|list ...",
		ShortHelp:   "issue, withdraw and list customers' keys",
		Subcommands: []*ff.Command{issueCommand(stdout), withdrawCommand(stdin, stdout), listCommand(stdout)},
	}
}

func issueCommand(stdout io.Writer) *ff.Command {
	flags := operator.NewLogFlags("issue")
	customer := flags.FlagSet.StringLong("customer", "", "name of the customer")
	return &ff.Command{
		Name:      "issue",
		Usage:     "oleanderworks key issue --customer NAME --log URL",
		ShortHelp: "issue a key to a customer and print it once",
		LongHelp:  "Only the SHA-256 hash of the key is stored. The key cannot be shown again.",
		Flags:     flags.FlagSet,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 || *customer == "" {
				return errors.New("expected the flag --customer with the name of a customer, and no arguments")
			}
			c, ctx, cancel, err := flags.Connect(ctx, nil)
			if err != nil {
				return err
			}
			defer cancel()
			return issue(ctx, c, *customer, stdout)
		},
	}
}

func issue(ctx context.Context, c *publish.Client, customer string, stdout io.Writer) error {
	document := model.DocumentName(model.KindCustomer, customer)
	if model.IsDeleted(c.Configuration().Document(document).Body) {
		return errors.Errorf("customer %q is not in the configuration", customer)
	}
	raw := make([]byte, keyBytes)
	if _, err := rand.Read(raw); err != nil {
		return errors.Wrap(err, "generate key")
	}
	key := keyPrefix + hex.EncodeToString(raw)
	hash := model.HashKey(key)
	body, err := json.Marshal(model.KeyConfig{Customer: model.Customer(customer)})
	if err != nil {
		return errors.Wrap(err, "encode key")
	}
	p, err := c.Publish(ctx, []model.Amendment{{Document: model.DocumentName(model.KindKey, hash.String()), Body: body}})
	if err != nil {
		return err
	}
	fmt.Fprintf(stdout, "accepted: offset %d, hash %s\nkey (shown once): %s\n", p.Offset, hash, key)
	return nil
}

func listCommand(stdout io.Writer) *ff.Command {
	flags := operator.NewLogFlags("list")
	return &ff.Command{
		Name:      "list",
		Usage:     "oleanderworks key list --log URL",
		ShortHelp: "list the hashes of keys with their customers",
		Flags:     flags.FlagSet,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return errors.Errorf("%d arguments, expected none", len(args))
			}
			c, _, cancel, err := flags.Connect(ctx, nil)
			if err != nil {
				return err
			}
			defer cancel()
			return list(c, stdout)
		},
	}
}

func list(c *publish.Client, stdout io.Writer) error {
	var lines []string
	for name, doc := range c.Configuration().Documents() {
		hash, ok := strings.CutPrefix(name, model.KindKey+"/")
		if !ok || model.IsDeleted(doc.Body) {
			continue
		}
		var key model.KeyConfig
		if err := json.Unmarshal(doc.Body, &key); err != nil {
			return errors.Wrapf(err, "document %s version %d", name, doc.Version)
		}
		state := "valid"
		if key.Withdrawn {
			state = "withdrawn"
		}
		lines = append(lines, fmt.Sprintf("%s\t%s\t%s", key.Customer, state, hash))
	}
	slices.Sort(lines)
	w := tabwriter.NewWriter(stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "CUSTOMER\tSTATE\tHASH")
	for _, line := range lines {
		fmt.Fprintln(w, line)
	}
	return w.Flush()
}
