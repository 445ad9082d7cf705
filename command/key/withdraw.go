package key

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/command/internal/operator"
	"github.com/oleanderworks/oleanderworks/core/fault"
	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// nodeTimeout limits the request to the node. It exceeds the time for which the
	// node waits for the confirmations of other nodes.
	nodeTimeout   = 10 * time.Second
	maxInputBytes = 64 << 10 // limit on the standard input and on a node's answer
)

func withdrawCommand(stdin io.Reader, stdout io.Writer) *ff.Command {
	flags := operator.NewLogFlags("withdraw")
	node := flags.FlagSet.StringLong("node", "", "operators' address of a node, http://IP:port; works also while the log service is unavailable")
	return &ff.Command{
		Name:      "withdraw",
		Usage:     "oleanderworks key withdraw KEY|HASH|- [--log URL] [--node URL]",
		ShortHelp: "withdraw a key permanently",
		LongHelp: "The argument is the key, its hash as \"key list\" shows it, or - to read one of these from\n" +
			"the standard input, which keeps a key out of the shell's history. With --node the nodes\n" +
			"forward the withdrawal to each other, also while the log service is unavailable; it is\n" +
			"accepted when nodes in a majority of each region's availability zones have confirmed it.",
		Flags: flags.FlagSet,
		Exec: func(ctx context.Context, args []string) error {
			keyOrHash, err := operator.SingleArgument(args, "a key, its hash or -")
			if err != nil {
				return err
			}
			if *node == "" && !flags.HasLogURL() {
				return errors.New("flags --log and --node are missing, expected one of them or both")
			}
			if keyOrHash == "-" {
				raw, err := io.ReadAll(io.LimitReader(stdin, maxInputBytes))
				if err != nil {
					return errors.Wrap(err, "read the key")
				}
				keyOrHash = strings.TrimSpace(string(raw))
			}
			return withdraw(ctx, flags, *node, keyOrHash, stdout)
		},
	}
}

// withdraw withdraws a key at the node of --node, if given, and then in the log of --log,
// if given. The node comes first because it can withdraw the key while the log service is
// unavailable.
func withdraw(ctx context.Context, flags *operator.LogFlags, node, keyOrHash string, stdout io.Writer) error {
	hash := parseKeyOrHash(keyOrHash)
	if node != "" {
		if err := withdrawAtNode(ctx, node, hash, stdout); err != nil {
			return err
		}
	}
	if !flags.HasLogURL() {
		return nil
	}
	c, ctx, cancel, err := flags.Connect(ctx, nil)
	if err != nil {
		return err
	}
	defer cancel()
	if model.IsDeleted(c.Configuration().Document(model.DocumentName(model.KindKey, hash.String())).Body) {
		return errors.Errorf("key %s is not in the configuration", hash.Short())
	}
	p, err := c.Withdraw(ctx, hash)
	if err != nil {
		return err
	}
	fmt.Fprintf(stdout, "in the log: key %s is withdrawn, offset %d\n", hash.Short(), p.Offset)
	if node == "" {
		fmt.Fprintln(stdout, "nodes that reach the log apply it within seconds; --node URL waits for their confirmation")
	}
	return nil
}

// parseKeyOrHash parses a hash in hexadecimal. It hashes any other text as a key.
func parseKeyOrHash(keyOrHash string) model.KeyHash {
	if hash, err := model.ParseKeyHash(keyOrHash); err == nil {
		return hash
	}
	return model.HashKey(keyOrHash)
}

func withdrawAtNode(ctx context.Context, node string, hash model.KeyHash, stdout io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	body, err := json.Marshal(map[string]string{"hash": hash.String()})
	if err != nil {
		return errors.Wrap(err, "encode withdrawal")
	}
	url := strings.TrimRight(node, "/") + "/keys/withdraw"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return fault.Wrap("withdraw key", node, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fault.Wrap("withdraw key", node, err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxInputBytes))
	if err != nil {
		return fault.Wrap("withdraw key", node, err)
	}
	if resp.StatusCode == http.StatusAccepted {
		return fault.New("withdraw key", node, "not confirmed in every region yet, run the command again: %s", strings.TrimSpace(string(answer)))
	}
	if resp.StatusCode != http.StatusOK {
		return fault.New("withdraw key", node, "status %d: %s", resp.StatusCode, strings.TrimSpace(string(answer)))
	}
	fmt.Fprintf(stdout, "accepted: %s\n", strings.TrimSpace(string(answer)))
	return nil
}
