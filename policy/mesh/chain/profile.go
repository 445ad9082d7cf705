package chain

import (
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// profileWeight is the weight of a new sample in the mean needs of a route, an
	// exponentially weighted moving average. Some dozens of requests settle it.
	profileWeight = 0.05
	// maxProfileServices bounds the services of one route's profile. Chains are up to 8
	// calls deep.
	maxProfileServices = 16
	// minNeed is the mean need from which on a service belongs to a profile. Services that
	// only a few requests of a route reach lose their place again.
	minNeed = 100 * time.Microsecond
)

// profile is what the requests of a route need, on average, at the services behind the
// first one.
type profile struct{ services []need }

type need struct {
	service  model.Service
	slotTime time.Duration // per request
}

// learn adds the work of one successful request.
func (p *profile) learn(first model.Service, work []model.ServiceWork) {
	for i := range p.services {
		n := &p.services[i]
		sample := time.Duration(0)
		if j := slices.IndexFunc(work, func(w model.ServiceWork) bool { return w.Service == n.service }); j >= 0 {
			sample = work[j].SlotTime
		}
		n.slotTime += time.Duration(profileWeight * float64(sample-n.slotTime))
	}
	for _, w := range work {
		if w.Service == first || w.SlotTime <= 0 || len(p.services) >= maxProfileServices || p.has(w.Service) {
			continue
		}
		p.services = append(p.services, need{service: w.Service, slotTime: w.SlotTime})
	}
	p.services = slices.DeleteFunc(p.services, func(n need) bool { return n.slotTime < minNeed })
}

func (p *profile) has(s model.Service) bool {
	return slices.ContainsFunc(p.services, func(n need) bool { return n.service == s })
}
