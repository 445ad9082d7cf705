package agent

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/oleanderworks/oleanderworks/model"
)

// Status is the body of the response to GET /status.
type Status struct {
	Instance    string `json:"instance"`
	Service     string `json:"service"`
	Zone        string `json:"zone"`
	Region      string `json:"region"`
	CallAddress string `json:"call_address"`
	PeerAddress string `json:"peer_address"`

	Config  ConfigStatus                     `json:"config"`
	Members map[model.Service][]model.Member `json:"members"`
}

func (n *Node) opsHandler() http.Handler {
	router := bunrouter.New()
	router.GET("/status", func(w http.ResponseWriter, _ bunrouter.Request) error {
		w.Header().Set("Content-Type", "application/json")
		return json.NewEncoder(w).Encode(n.status())
	})
	router.GET("/debug/vars", func(w http.ResponseWriter, _ bunrouter.Request) error {
		w.Header().Set("Content-Type", "application/json")
		_, err := w.Write([]byte(n.vars.String()))
		return err
	})
	router.POST("/keys/withdraw", n.serveWithdraw)
	return router
}

func (n *Node) status() Status {
	config, members := n.configStatus(time.Now())
	self := n.member()
	return Status{
		Config:      config,
		Members:     members,
		Instance:    string(self.Instance),
		Service:     string(self.Service),
		Zone:        string(self.Zone),
		Region:      string(self.Region),
		CallAddress: n.CallAddress(),
		PeerAddress: self.PeerAddress,
	}
}
