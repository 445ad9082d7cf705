package agent

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/oleanderworks/oleanderworks/agent/follower"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/configlog"
)

const (
	// maxOpsBodyBytes bounds the body of an operator's request.
	maxOpsBodyBytes = 64 << 10
	// withdrawReplyTimeout must exceed the time for which the follower waits for the
	// regions to confirm a withdrawal (withdrawTimeout of policy/node/configlog, 5 s from
	// the last request to withdraw the key).
	withdrawReplyTimeout = 8 * time.Second
)

// ConfigStatus is the part of Status that describes the node's configuration.
type ConfigStatus struct {
	Ready         bool              `json:"ready"`    // the node has a complete configuration
	Sequence      uint64            `json:"sequence"` // of the node's latest snapshot
	Offset        uint64            `json:"offset"`   // of the next record to read from the configuration stream
	Positions     map[string]uint64 `json:"positions"`
	LogContactAge string            `json:"log_contact_age,omitempty"` // time since a read last reached the end of the configuration stream
	Services      int               `json:"services"`
	Customers     int               `json:"customers"`
	Keys          int               `json:"keys"`
	ZonesOut      []string          `json:"zones_out,omitempty"`
	TargetsOut    []string          `json:"targets_out,omitempty"`
}

func (n *Node) configStatus(now time.Time) (ConfigStatus, map[model.Service][]model.Member) {
	view := n.logDuties.followerHandler.View()
	status := ConfigStatus{Ready: view.Ready, Offset: view.ConfigOffset(), Positions: make(map[string]uint64)}
	for _, p := range view.Positions {
		status.Positions[p.Stream] = uint64(p.Next)
	}
	if !view.LastLogContact.IsZero() {
		status.LogContactAge = now.Sub(view.LastLogContact).Round(time.Millisecond).String()
	}
	snapshot := view.Snapshot
	if snapshot == nil {
		return status, nil
	}
	status.Sequence = snapshot.Sequence
	status.Services, status.Customers, status.Keys = len(snapshot.Services), len(snapshot.Customers), len(snapshot.Keys)
	status.ZonesOut, status.TargetsOut = outOfService(snapshot.Zones), outOfService(snapshot.Targets)
	return status, snapshot.Members
}

func outOfService[K ~string](configs map[K]model.AvailabilityConfig) []string {
	var out []string
	for name, config := range configs {
		if config.OutOfService {
			out = append(out, string(name))
		}
	}
	slices.Sort(out)
	return out
}

// withdrawRequest is the body of POST /keys/withdraw. It names the key to withdraw,
// by the key itself or by its hash.
type withdrawRequest struct {
	Key  string `json:"key"`
	Hash string `json:"hash"`
}

func (r *withdrawRequest) keyHash() (model.KeyHash, error) {
	if r.Key != "" {
		return model.HashKey(r.Key), nil
	}
	return model.ParseKeyHash(r.Hash)
}

// withdrawResponse lists the regions in which a withdrawal is confirmed to be in
// force.
type withdrawResponse struct {
	Key      string         `json:"key"`      // first digits of the key's hash
	Accepted []model.Region `json:"accepted"` // regions that confirmed
	Missing  []model.Region `json:"missing"`  // regions that did not confirm
	InLog    bool           `json:"in_log"`   // the log is known to hold the withdrawal
}

// serveWithdraw withdraws a key. It responds with status 200 if every region has
// confirmed the withdrawal, and with 202 and the missing regions otherwise. In both
// cases this node has applied the withdrawal, unless too many are pending; the
// response then lists no accepted region.
func (n *Node) serveWithdraw(w http.ResponseWriter, r bunrouter.Request) error {
	var request withdrawRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOpsBodyBytes)).Decode(&request); err != nil {
		http.Error(w, `expected JSON with "key" or "hash"`, http.StatusBadRequest)
		return nil
	}
	hash, err := request.keyHash()
	if err != nil || request.Key != "" && request.Hash != "" {
		http.Error(w, `expected "key" or "hash" with 64 hexadecimal digits`, http.StatusBadRequest)
		return nil
	}
	m := &follower.WithdrawKey{Hash: hash, Reply: ring.NewReply[configlog.Confirmation]()}
	if !n.logDuties.follower.Ring().Offer(m) {
		http.Error(w, "the node is busy, try again", http.StatusServiceUnavailable)
		return nil
	}
	ctx, cancel := context.WithTimeout(r.Context(), withdrawReplyTimeout)
	defer cancel()
	confirmation, err := m.Reply.Wait(ctx)
	if err != nil {
		http.Error(w, "the node did not answer in time, try again", http.StatusServiceUnavailable)
		return nil
	}
	w.Header().Set("Content-Type", "application/json")
	if len(confirmation.Missing) > 0 {
		w.WriteHeader(http.StatusAccepted)
	}
	return json.NewEncoder(w).Encode(withdrawResponse{
		Key:      hash.Short(),
		Accepted: append([]model.Region{}, confirmation.Regions...),
		Missing:  append([]model.Region{}, confirmation.Missing...),
		InLog:    confirmation.InLog,
	})
}
