package routing

import (
	"slices"

	"github.com/oleanderworks/oleanderworks/model"
)

// targetLoad is the entry node's view of one target.
type targetLoad struct {
	sent   int // attempts of this node in progress
	report model.Load
}

// ratio estimates how full a target is. A target without a report counts as
// having room for one call, so that new targets are tried with care.
func (l *targetLoad) ratio() float64 {
	limit := max(l.report.Limit, 1)
	return float64(l.sent+l.report.Queued) / float64(limit)
}

func (c *Core) load(i model.Instance) *targetLoad {
	l := c.loads[i]
	if l == nil {
		l = new(targetLoad)
		c.loads[i] = l
	}
	return l
}

func (c *Core) onSend(i model.Instance) { c.load(i).sent++ }

func (c *Core) observe(i model.Instance, a *model.Answer) {
	l := c.load(i)
	l.sent = max(l.sent-1, 0)
	if a.Load.Limit > 0 {
		l.report = a.Load
	}
}

// choose picks a target by power of two choices.
func (c *Core) choose(call *model.Call, tried []model.Instance) (model.Member, *model.Answer) {
	candidates := c.candidates(call.Service, tried)
	switch len(candidates) {
	case 0:
		return model.Member{}, model.Refusal(call.ID, model.ReasonNoTarget, "no target of the service is in service")
	case 1:
		return candidates[0], nil
	}
	i := c.rng.IntN(len(candidates))
	j := c.rng.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	return c.lighter(candidates[i], candidates[j]), nil
}

func (c *Core) lighter(a, b model.Member) model.Member {
	if c.load(b.Instance).ratio() < c.load(a.Instance).ratio() {
		return b
	}
	return a
}

func (c *Core) candidates(s model.Service, tried []model.Instance) []model.Member {
	var out []model.Member
	for _, m := range c.snapshot.Members[s] {
		if c.snapshot.Zones[m.Zone].Out || c.snapshot.Targets[m.Instance].Out {
			continue
		}
		if c.avoided[m.Instance] || slices.Contains(tried, m.Instance) {
			continue
		}
		out = append(out, m)
	}
	return out
}
