package chain

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderworks/oleanderworks/model"
)

const (
	// demandDecayTime is the time constant with which past requests lose their weight in
	// the measured demand.
	demandDecayTime = 2 * time.Second
	// guaranteedShare is the part of the admitted fraction that each priority gets of its
	// own demand, whatever the demand of higher ones. A kind of request that only has the
	// lowest priority must not be served less than a quarter as often as all.
	guaranteedShare = 0.3
	// minDemand is the demand in seconds of slot time below which a customer is forgotten.
	minDemand = 0.001
	// maxCredit bounds the credit that a customer keeps at one service while another service
	// limits its requests: one request more than its share is admitted later.
	maxCredit = 2 // requests
)

// demand is the demand for one service at one node: the slot time that the requests of each
// customer need there, by priority, with exponential decay.
type demand struct {
	levels    []*level // highest priority, that is, lowest number first
	requests  float64
	dividedAt time.Time
}

type level struct {
	priority  int
	total     float64 // seconds of slot time
	customers map[model.Customer]*customerDemand
}

type customerDemand struct {
	offered  float64 // seconds of slot time
	admitted float64 // fraction that is admitted, 0 to 1
	credit   float64 // a request is admitted when it reaches 1
}

// requestRate returns the rate at which requests arrive, per second.
func (d *demand) requestRate() float64 { return d.requests / demandDecayTime.Seconds() }

func (d *demand) levelFor(priority int) *level {
	i, found := slices.BinarySearchFunc(d.levels, priority, func(l *level, p int) int { return l.priority - p })
	if !found {
		d.levels = slices.Insert(d.levels, i, &level{priority: priority, customers: make(map[model.Customer]*customerDemand)})
	}
	return d.levels[i]
}

// offer records a request and reports whether it is admitted. fraction is the admitted
// fraction for a customer that is not known yet.
func (d *demand) offer(now time.Time, rng *rand.Rand, r Request, slotTime, fraction float64) bool {
	l := d.levelFor(r.Priority)
	c := l.customers[r.Customer]
	if c == nil {
		c = &customerDemand{admitted: fraction, credit: rng.Float64()}
		l.customers[r.Customer] = c
	}
	c.offered += slotTime
	l.total += slotTime
	d.requests++
	if fraction >= 1 {
		return true
	}
	c.credit += c.admitted
	if c.credit < 1 {
		return false
	}
	c.credit--
	return true
}

// refund returns the credit of a request that was admitted here but is not begun, since
// another service cannot take its calls.
func (d *demand) refund(r Request) {
	if c := d.levelFor(r.Priority).customers[r.Customer]; c != nil {
		c.credit = min(c.credit+1, maxCredit)
	}
}

// divide lets past requests decay and divides the admitted fraction of the demand: each
// priority gets guaranteedShare of the fraction of its own demand, the rest goes to the
// highest priorities first. Within a priority the customers get equal amounts of slot time,
// up to their demand.
func (d *demand) divide(now time.Time, fraction float64) {
	d.decay(now)
	total := 0.0
	for _, l := range d.levels {
		total += l.total
	}
	remaining := (1 - guaranteedShare) * fraction * total
	for _, l := range d.levels {
		guaranteed := guaranteedShare * fraction * l.total
		extra := min(l.total-guaranteed, remaining)
		remaining -= extra
		l.divide(guaranteed + extra)
	}
}

func (d *demand) decay(now time.Time) {
	elapsed := now.Sub(d.dividedAt)
	d.dividedAt = now
	factor := math.Exp(-elapsed.Seconds() / demandDecayTime.Seconds())
	d.requests *= factor
	for _, l := range d.levels {
		l.total = 0
		for name, c := range l.customers {
			if c.offered *= factor; c.offered < minDemand {
				delete(l.customers, name)
				continue
			}
			l.total += c.offered
		}
	}
	d.levels = slices.DeleteFunc(d.levels, func(l *level) bool { return len(l.customers) == 0 })
}

// divide divides budget, in seconds of slot time, among the customers of a priority by
// max-min fairness.
func (l *level) divide(budget float64) {
	customers := make([]*customerDemand, 0, len(l.customers))
	for _, c := range l.customers {
		customers = append(customers, c)
	}
	slices.SortFunc(customers, func(a, b *customerDemand) int {
		switch {
		case a.offered < b.offered:
			return -1
		case a.offered > b.offered:
			return 1
		}
		return 0
	})
	for i, c := range customers {
		share := min(budget/float64(len(customers)-i), c.offered)
		budget -= share
		c.admitted = share / c.offered
	}
}
