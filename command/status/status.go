// Package status implements the subcommand "status".
package status

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"

	"github.com/oleanderworks/oleanderworks/agent"
	"github.com/oleanderworks/oleanderworks/core/fault"
)

const (
	requestTimeout   = 5 * time.Second
	maxResponseBytes = 16 << 20
)

// New returns the subcommand.
func New(stdout io.Writer) *ff.Command {
	flags := ff.NewFlagSet("status")
	printJSON := flags.BoolLong("json", "print the node's JSON response unchanged")
	return &ff.Command{
		Name:      "status",
		Usage:     "oleanderworks status [--json] ADDRESS",
		ShortHelp: "show a node's configuration, contact with the log service and known members",
		LongHelp:  "ADDRESS is the operators' address of a node, IP:port or http://IP:port.",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return errors.Errorf("%d arguments, expected the operators' address of one node", len(args))
			}
			text, err := fetchStatus(ctx, args[0])
			if err != nil {
				return err
			}
			if *printJSON {
				_, err := stdout.Write(text)
				return err
			}
			return printStatus(stdout, args[0], text)
		},
	}
}

func fetchStatus(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	url := strings.TrimRight(address, "/") + "/status"
	if !strings.Contains(url, "://") {
		url = "http://" + url
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fault.Wrap("read status", address, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fault.Wrap("read status", address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fault.New("read status", address, "status %d, expected 200", resp.StatusCode)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return text, fault.Wrap("read status", address, err)
}

func printStatus(w io.Writer, address string, text []byte) error {
	var s agent.Status
	if err := json.Unmarshal(text, &s); err != nil {
		return fault.Wrap("decode status", address, err)
	}
	c := s.Config
	fmt.Fprintf(w, "%s: service %s, availability zone %s, region %s\n", s.Instance, s.Service, s.Zone, s.Region)
	fmt.Fprintf(w, "calls %s, peers %s\n", s.CallAddress, s.PeerAddress)
	fmt.Fprintf(w, "configuration: ready %t, sequence %d, offset %d, %d services, %d customers, %d keys\n",
		c.Ready, c.Sequence, c.Offset, c.Services, c.Customers, c.Keys)
	if c.LogContactAge == "" {
		fmt.Fprintln(w, "log: not read yet")
	} else {
		fmt.Fprintf(w, "log: read to its end %s ago\n", c.LogContactAge)
	}
	printList(w, "availability zones out of service", c.ZonesOut)
	printList(w, "targets out of service", c.TargetsOut)
	for _, service := range slices.Sorted(maps.Keys(s.Members)) {
		for _, m := range s.Members[service] {
			fmt.Fprintf(w, "member of %s: %s in %s at %s\n", service, m.Instance, m.Zone, m.PeerAddress)
		}
	}
	return nil
}

func printList(w io.Writer, title string, names []string) {
	if len(names) > 0 {
		fmt.Fprintf(w, "%s: %s\n", title, strings.Join(names, ", "))
	}
}
