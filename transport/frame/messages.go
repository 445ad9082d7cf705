package frame

import (
	"math"
	"net/http"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/oleanderworks/oleanderworks/logservice/keyed"
	"github.com/oleanderworks/oleanderworks/model"
)

func (m Hello) append(b []byte) []byte {
	b = appendString(b, 1, string(m.Node.Instance))
	b = appendFixed64(b, 2, uint64(m.Node.Incarnation))
	b = appendString(b, 3, string(m.Zone))
	return appendString(b, 4, string(m.Service))
}

func decodeHello(b []byte) (Message, error) {
	var m Hello
	err := forEachField(b, func(f field) error {
		switch f.number {
		case 1:
			m.Node.Instance = model.Instance(f.asString())
		case 2:
			m.Node.Incarnation = model.Incarnation(f.value)
		case 3:
			m.Zone = model.Zone(f.asString())
		case 4:
			m.Service = model.Service(f.asString())
		}
		return nil
	})
	return m, err
}

func (m Call) append(b []byte) []byte {
	b, body := m.appendSplit(b)
	return append(b, body...)
}

func (m Call) appendSplit(b []byte) (fields, body []byte) {
	c := m.Call
	b = appendFixed64(b, 1, uint64(c.ID))
	b = appendString(b, 2, string(c.Service))
	b = appendString(b, 3, c.Method)
	b = appendString(b, 4, c.Path)
	b = appendString(b, 5, c.Host)
	b = appendString(b, 6, c.AttemptID)
	b = appendString(b, 7, string(c.Customer))
	b = appendString(b, 8, string(c.CallerService))
	b = appendUint(b, 9, uint64(c.Priority))
	b = appendBool(b, 10, c.Nested)
	b = appendBool(b, 11, c.Idempotent)
	b = appendUint(b, 12, uint64(c.Attempt))
	b = appendDuration(b, 13, m.Remaining)
	b = appendDuration(b, 14, m.SLORemaining)
	b = appendHeader(b, 15, 16, c.Header)
	if c.OnBehalfOf != c.Customer {
		b = appendString(b, 18, string(c.OnBehalfOf))
	}
	b = appendBool(b, 19, c.IsRetry)
	b = appendUint(b, 20, uint64(c.CrashCount))
	b = appendBool(b, 21, c.CrashesReported)
	b = appendUint(b, 22, uint64(c.Progress*fractionScale))
	return appendLength(b, 17, c.Body), c.Body
}

func decodeCall(b []byte) (Message, error) {
	c := &model.Call{Header: make(http.Header)}
	m := Call{Call: c}
	var name string
	err := forEachField(b, func(f field) error {
		switch f.number {
		case 1:
			c.ID = model.CallID(f.value)
		case 2:
			c.Service = model.Service(f.asString())
		case 3:
			c.Method = f.asString()
		case 4:
			c.Path = f.asString()
		case 5:
			c.Host = f.asString()
		case 6:
			c.AttemptID = f.asString()
		case 7:
			c.Customer = model.Customer(f.asString())
		case 8:
			c.CallerService = model.Service(f.asString())
		case 9:
			c.Priority = int(f.value)
		case 10:
			c.Nested = f.asBool()
		case 11:
			c.Idempotent = f.asBool()
		case 12:
			c.Attempt = int(f.value)
		case 13:
			m.Remaining = f.asDuration()
		case 14:
			m.SLORemaining = f.asDuration()
		case 15:
			name = f.asString()
		case 16:
			c.Header[name] = append(c.Header[name], f.asString())
		case 17:
			c.Body = f.bytes
		case 18:
			c.OnBehalfOf = model.Customer(f.asString())
		case 19:
			c.IsRetry = f.asBool()
		case 20:
			c.CrashCount = int(f.value)
		case 21:
			c.CrashesReported = f.asBool()
		case 22:
			c.Progress = decodeFraction(f.value)
		}
		return nil
	})
	if c.OnBehalfOf == "" {
		c.OnBehalfOf = c.Customer
	}
	return m, err
}

func (m Cancel) append(b []byte) []byte { return appendFixed64(b, 1, uint64(m.ID)) }

func decodeCancel(b []byte) (Message, error) {
	var m Cancel
	err := forEachField(b, func(f field) error {
		if f.number == 1 {
			m.ID = model.CallID(f.value)
		}
		return nil
	})
	return m, err
}

func (m Answer) append(b []byte) []byte {
	b, body := m.appendSplit(b)
	return append(b, body...)
}

func (m Answer) appendSplit(b []byte) (fields, body []byte) {
	a := m.Answer
	b = appendFixed64(b, 1, uint64(a.ID))
	b = appendUint(b, 2, uint64(a.Run))
	b = appendString(b, 3, string(a.Reason))
	b = appendString(b, 4, a.Detail)
	b = appendUint(b, 5, uint64(a.Status))
	b = appendDuration(b, 6, a.RetryAfter)
	b = appendUint(b, 7, uint64(a.Load.InFlight))
	b = appendUint(b, 8, uint64(a.Load.Queued))
	b = appendHeader(b, 9, 10, a.Header)
	b = appendBool(b, 12, a.NestedFailed)
	b = appendWork(b, 13, a.Work)
	return appendLength(b, 11, a.Body), a.Body
}

// appendWork appends what a request used at each service, with slot times in whole
// milliseconds.
func appendWork(b []byte, number protowire.Number, list []model.ServiceWork) []byte {
	for _, w := range list {
		b = appendNested(b, number, func(b []byte) []byte {
			b = appendString(b, 1, string(w.Service))
			b = appendUint(b, 2, uint64(w.Calls))
			b = appendUint(b, 3, uint64(w.TurnedAway))
			return appendUint(b, 4, uint64(w.SlotTime.Milliseconds()))
		})
	}
	return b
}

// maxWorkCount bounds the numbers of calls in a ServiceWork, which sums add up.
const maxWorkCount = 1 << 20

func decodeWork(b []byte) (model.ServiceWork, error) {
	var w model.ServiceWork
	err := forEachField(b, func(f field) error {
		switch f.number {
		case 1:
			w.Service = model.Service(f.asString())
		case 2:
			w.Calls = int(min(f.value, maxWorkCount))
		case 3:
			w.TurnedAway = int(min(f.value, maxWorkCount))
		case 4:
			w.SlotTime = time.Duration(min(f.value, uint64(time.Hour.Milliseconds()))) * time.Millisecond
		}
		return nil
	})
	return w, err
}

func decodeAnswer(b []byte) (Message, error) {
	a := &model.Answer{}
	var name string
	err := forEachField(b, func(f field) error {
		switch f.number {
		case 1:
			a.ID = model.CallID(f.value)
		case 2:
			a.Run = model.RunState(f.value)
		case 3:
			a.Reason = model.Reason(f.asString())
		case 4:
			a.Detail = f.asString()
		case 5:
			a.Status = int(f.value)
		case 6:
			a.RetryAfter = f.asDuration()
		case 7:
			a.Load.InFlight = int(f.value)
		case 8:
			a.Load.Queued = int(f.value)
		case 9:
			name = f.asString()
		case 10:
			if a.Header == nil {
				a.Header = make(http.Header)
			}
			a.Header[name] = append(a.Header[name], f.asString())
		case 11:
			a.Body = f.bytes
		case 12:
			a.NestedFailed = f.value != 0
		case 13:
			w, err := decodeWork(f.bytes)
			a.Work = append(a.Work, w)
			return err
		}
		return nil
	})
	return Answer{Answer: a}, err
}

// append omits the NodeInfo if it equals the one last sent on the link; a typical
// report then takes about 20 bytes. Field 5, the mean run time, is in whole
// milliseconds, so that a time below 1 ms is sent as 0. Field 10, the age of the
// documents, is in milliseconds plus one; it is omitted if they were never confirmed.
func (m Report) append(b []byte) []byte {
	r := m.Report
	if !m.OmitsNodeInfo {
		b = appendNested(b, 1, func(b []byte) []byte { return appendNodeInfo(b, &r.NodeInfo) })
	}
	b = appendBool(b, 2, r.Cold)
	b = appendUint(b, 3, uint64(r.Running))
	b = appendUint(b, 4, uint64(r.Queued))
	b = appendUint(b, 5, uint64(r.MeanRunTime.Milliseconds()))
	b = appendUint(b, 6, uint64(r.Documents.End.Offset))
	b = appendUsage(b, 7, r.Usage)
	b = appendUint(b, 9, uint64(r.FailureRate*fractionScale))
	if r.DocumentsAge >= 0 {
		b = appendUint(b, 10, uint64(r.DocumentsAge.Milliseconds())+1)
	}
	b = appendUint(b, 11, r.Documents.End.Era)
	b = appendUint(b, 12, r.Documents.Version)
	b = appendUint(b, 13, uint64(r.ShedFraction*fractionScale))
	b = appendUint(b, 14, uint64(r.QueueDelay.Milliseconds()))
	b = appendUint(b, 15, uint64(r.Nested))
	return appendCrashReports(b, 8, r.Crashes)
}

// fractionScale is the number of encoded units in a fraction of 1.
const fractionScale = 100

func decodeFraction(value uint64) float64 { return float64(min(value, fractionScale)) / fractionScale }

// maxMilliseconds is the longest time in milliseconds that a time.Duration can hold.
const maxMilliseconds = uint64(math.MaxInt64 / time.Millisecond)

// demandScale is the number of encoded units in a demand of one request a
// second.
const demandScale = 100

func appendUsage(b []byte, number protowire.Number, list []model.CustomerUsage) []byte {
	for _, u := range list {
		b = appendNested(b, number, func(b []byte) []byte {
			b = appendString(b, 1, string(u.Customer))
			b = appendUint(b, 2, u.Admitted)
			return appendUint(b, 3, uint64(u.Demand*demandScale))
		})
	}
	return b
}

func appendCrashReports(b []byte, number protowire.Number, list []model.CrashReport) []byte {
	for _, c := range list {
		b = appendNested(b, number, func(b []byte) []byte {
			b = appendFixed64(b, 1, c.Fingerprint)
			b = appendUint(b, 2, uint64(c.Count))
			return appendUint(b, 3, uint64(c.Age.Milliseconds()))
		})
	}
	return b
}

func appendNodeInfo(b []byte, info *model.NodeInfo) []byte {
	b = appendString(b, 1, string(info.Node.Instance))
	b = appendFixed64(b, 2, uint64(info.Node.Incarnation))
	b = appendString(b, 3, string(info.Target))
	b = appendString(b, 4, string(info.Service))
	b = appendString(b, 5, string(info.Zone))
	b = appendUint(b, 6, uint64(info.State))
	b = appendUint(b, 7, uint64(info.Limit))
	b = appendFixed64(b, 8, math.Float64bits(info.ColdRate))
	return appendString(b, 9, info.Version)
}

func decodeReport(b []byte) (Message, error) {
	r := &model.NodeReport{DocumentsAge: -1}
	m := Report{Report: r, OmitsNodeInfo: true}
	err := forEachField(b, func(f field) error {
		switch f.number {
		case 1:
			m.OmitsNodeInfo = false
			return decodeNodeInfo(&r.NodeInfo, f.bytes)
		case 2:
			r.Cold = f.asBool()
		case 3:
			r.Running = int(f.value)
		case 4:
			r.Queued = int(f.value)
		case 5:
			r.MeanRunTime = time.Duration(f.value) * time.Millisecond
		case 6:
			r.Documents.End.Offset = int64(f.value)
		case 7:
			u, err := decodeCustomerUsage(f.bytes)
			r.Usage = append(r.Usage, u)
			return err
		case 8:
			c, err := decodeCrashReport(f.bytes)
			r.Crashes = append(r.Crashes, c)
			return err
		case 9:
			r.FailureRate = decodeFraction(f.value)
		case 10:
			r.DocumentsAge = time.Duration(f.value)*time.Millisecond - time.Millisecond
		case 11:
			r.Documents.End.Era = f.value
		case 12:
			r.Documents.Version = f.value
		case 13:
			r.ShedFraction = decodeFraction(f.value)
		case 14:
			r.QueueDelay = time.Duration(min(f.value, maxMilliseconds)) * time.Millisecond
		case 15:
			r.Nested = int(f.value)
		}
		return nil
	})
	return m, err
}

func decodeNodeInfo(info *model.NodeInfo, b []byte) error {
	return forEachField(b, func(f field) error {
		switch f.number {
		case 1:
			info.Node.Instance = model.Instance(f.asString())
		case 2:
			info.Node.Incarnation = model.Incarnation(f.value)
		case 3:
			info.Target = model.Instance(f.asString())
		case 4:
			info.Service = model.Service(f.asString())
		case 5:
			info.Zone = model.Zone(f.asString())
		case 6:
			info.State = model.TargetState(f.value)
		case 7:
			info.Limit = int(f.value)
		case 8:
			info.ColdRate = math.Float64frombits(f.value)
		case 9:
			info.Version = f.asString()
		}
		return nil
	})
}

func decodeCustomerUsage(b []byte) (model.CustomerUsage, error) {
	var u model.CustomerUsage
	err := forEachField(b, func(f field) error {
		switch f.number {
		case 1:
			u.Customer = model.Customer(f.asString())
		case 2:
			u.Admitted = f.value
		case 3:
			u.Demand = float64(f.value) / demandScale
		}
		return nil
	})
	return u, err
}

func decodeCrashReport(b []byte) (model.CrashReport, error) {
	var c model.CrashReport
	err := forEachField(b, func(f field) error {
		switch f.number {
		case 1:
			c.Fingerprint = f.value
		case 2:
			c.Count = int(f.value)
		case 3:
			c.Age = time.Duration(min(f.value, maxMilliseconds)) * time.Millisecond
		}
		return nil
	})
	return c, err
}

func (m Crashes) append(b []byte) []byte { return appendCrashReports(b, 1, m.Reports) }

func decodeCrashes(b []byte) (Message, error) {
	var m Crashes
	err := forEachField(b, func(f field) error {
		if f.number != 1 {
			return nil
		}
		c, err := decodeCrashReport(f.bytes)
		m.Reports = append(m.Reports, c)
		return err
	})
	return m, err
}

func (m Departed) append(b []byte) []byte { return appendString(b, 1, string(m.Target)) }

func decodeDeparted(b []byte) (Message, error) {
	var m Departed
	err := forEachField(b, func(f field) error {
		if f.number == 1 {
			m.Target = model.Instance(f.asString())
		}
		return nil
	})
	return m, err
}

func (m DocumentsRequest) append(b []byte) []byte {
	b = appendUint(b, 1, uint64(m.Known.End.Offset))
	b = appendUint(b, 2, m.Known.End.Era)
	return appendUint(b, 3, m.Known.Version)
}

func decodeDocumentsRequest(b []byte) (Message, error) {
	var m DocumentsRequest
	err := forEachField(b, func(f field) error {
		switch f.number {
		case 1:
			m.Known.End.Offset = int64(f.value)
		case 2:
			m.Known.End.Era = f.value
		case 3:
			m.Known.Version = f.value
		}
		return nil
	})
	return m, err
}

func (m Documents) append(b []byte) []byte {
	b = appendUint(b, 1, uint64(m.End.Offset))
	for _, record := range m.Records {
		b = appendNested(b, 2, func(b []byte) []byte {
			b = appendString(b, 1, record.Key)
			b = appendBytes(b, 2, record.Value)
			b = appendUint(b, 3, uint64(record.Position.Offset))
			return appendUint(b, 4, record.Position.Era)
		})
	}
	b = appendUint(b, 3, m.End.Era)
	return appendUint(b, 4, uint64(m.RetainedFor.Milliseconds()))
}

func decodeDocuments(b []byte) (Message, error) {
	var m Documents
	err := forEachField(b, func(f field) error {
		switch f.number {
		case 1:
			m.End.Offset = int64(f.value)
		case 2:
			record, err := decodeRecord(f.bytes)
			m.Records = append(m.Records, record)
			return err
		case 3:
			m.End.Era = f.value
		case 4:
			m.RetainedFor = time.Duration(f.value) * time.Millisecond
		}
		return nil
	})
	return m, err
}

func decodeRecord(b []byte) (keyed.Record, error) {
	var record keyed.Record
	err := forEachField(b, func(f field) error {
		switch f.number {
		case 1:
			record.Key = f.asString()
		case 2:
			record.Value = f.bytes
		case 3:
			record.Position.Offset = int64(f.value)
		case 4:
			record.Position.Era = f.value
		}
		return nil
	})
	return record, err
}

func (Ping) append(b []byte) []byte { return b }

func (m Usage) append(b []byte) []byte {
	b = appendString(b, 1, string(m.Node.Instance))
	b = appendFixed64(b, 2, uint64(m.Node.Incarnation))
	return appendUsage(b, 3, m.Customers)
}

func decodeUsage(b []byte) (Message, error) {
	var m Usage
	err := forEachField(b, func(f field) error {
		switch f.number {
		case 1:
			m.Node.Instance = model.Instance(f.asString())
		case 2:
			m.Node.Incarnation = model.Incarnation(f.value)
		case 3:
			u, err := decodeCustomerUsage(f.bytes)
			m.Customers = append(m.Customers, u)
			return err
		}
		return nil
	})
	return m, err
}

// NewCall returns the message for a call that is sent at now.
func NewCall(now time.Time, c *model.Call) Call {
	return Call{Call: c, Remaining: c.Deadline.Sub(now), SLORemaining: c.SLODeadline.Sub(now)}
}

// SetDeadlines sets the call's deadlines from the remaining times and returns the
// call. now is the time of arrival on the receiver's clock.
func (m Call) SetDeadlines(now time.Time) *model.Call {
	m.Call.Deadline = now.Add(m.Remaining)
	m.Call.SLODeadline = now.Add(m.SLORemaining)
	return m.Call
}
