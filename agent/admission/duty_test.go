package admission

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"gopkg.in/tomb.v2"
	"gotest.tools/v3/assert"

	"github.com/oleanderworks/oleanderworks/agent/quarantine"
	"github.com/oleanderworks/oleanderworks/core/duty"
	"github.com/oleanderworks/oleanderworks/core/event"
	"github.com/oleanderworks/oleanderworks/core/ring"
	"github.com/oleanderworks/oleanderworks/model"
	"github.com/oleanderworks/oleanderworks/policy/node/admission"
)

// fakeTarget answers probes with the results that a test supplies.
type fakeTarget struct {
	probes      chan bool // results, in order
	connections chan int
}

func (f *fakeTarget) Probe(context.Context) bool { return <-f.probes }
func (f *fakeTarget) SetMaxConnections(n int)    { f.connections <- n }

type noQuarantine struct{}

func (noQuarantine) Check(time.Time, *model.Call) *model.Answer    { return nil }
func (noQuarantine) OnEnded(time.Time, *model.Answer)              {}
func (noQuarantine) OnStarted(model.CallID)                        {}
func (noQuarantine) OnMarkUpdate(time.Time, quarantine.MarkUpdate) {}
func (noQuarantine) OnSnapshot(*model.Snapshot)                    {}
func (noQuarantine) Flush(time.Time)                               {}

// startDuty starts the duty for a service with one slot.
func startDuty(t *testing.T) (*duty.Duty[Message], *fakeTarget) {
	t.Helper()
	var threads tomb.Tomb
	self := model.Member{NodeID: model.NodeID{Instance: "tally-1"}, Service: "tally", Zone: "suva"}
	core := admission.New(self, admission.Options{Rand: rand.New(rand.NewPCG(1, 2))})
	target := &fakeTarget{probes: make(chan bool, 8), connections: make(chan int, 8)}
	d, _ := New(threads.Context(context.Background()), core, target, noQuarantine{}, event.Discard())
	d.Start(&threads)
	t.Cleanup(func() {
		close(target.probes)
		threads.Kill(nil)
		assert.NilError(t, threads.Wait())
	})
	body, err := json.Marshal(model.ServiceConfig{Name: "tally", Slots: 1, Connections: 7})
	assert.NilError(t, err)
	snapshot, err := model.NewSnapshot(1, map[string]model.Document{"": {Name: "service/tally", Body: body}})
	assert.NilError(t, err)
	assert.Assert(t, d.Ring().Offer(&SnapshotChanged{Snapshot: snapshot}))
	assert.Equal(t, <-target.connections, 7)
	return d, target
}

func offerCall(t *testing.T, d *duty.Duty[Message], id model.CallID) *Admit {
	t.Helper()
	a := &Admit{
		Call:          &model.Call{ID: id, Service: "tally", Open: true, Deadline: time.Now().Add(time.Minute)},
		Reply:         ring.NewReply[AdmitResult](),
		CancelRunning: func() {},
	}
	assert.Assert(t, d.Ring().Offer(a))
	return a
}

func wait[T any](t *testing.T, r ring.Reply[T]) T {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	v, err := r.Wait(ctx)
	assert.NilError(t, err)
	return v
}

func endCall(t *testing.T, d *duty.Duty[Message], a *model.Answer) {
	t.Helper()
	assert.Assert(t, d.Ring().Offer(&CallEnded{Answer: a}))
	sampled := ring.NewReply[model.Load]()
	assert.Assert(t, d.Ring().Offer(&SampleLoad{Deliver: func(l model.Load) { sampled.Send(l) }}))
	wait(t, sampled)
}

// Guards against a drain that interrupts a running or queued call, or that is
// reported as done while a call still runs or waits.
func TestDrainWaitsForRunningAndQueuedCalls(t *testing.T) {
	d, _ := startDuty(t)
	running := offerCall(t, d, 1)
	assert.Assert(t, wait(t, running.Reply).Answer == nil)
	waiting := offerCall(t, d, 2)
	drain := &BeginDrain{Done: ring.NewReply[struct{}]()}
	assert.Assert(t, d.Ring().Offer(drain))
	assert.Equal(t, wait(t, offerCall(t, d, 3).Reply).Answer.Reason, model.ReasonTargetLeaving)
	endCall(t, d, &model.Answer{ID: 1, Run: model.Completed, Status: 200})
	assert.Assert(t, wait(t, waiting.Reply).Answer == nil)
	select {
	case <-drain.Done.Chan():
		t.Fatal("drain reported as done while a call runs")
	default:
	}
	endCall(t, d, &model.Answer{ID: 2, Run: model.Completed, Status: 200})
	wait(t, drain.Done)
}

// Guards against a target in the state lost that is not probed until a probe
// succeeds, and against a probe that blocks the duty's thread.
func TestLostTargetIsProbed(t *testing.T) {
	d, target := startDuty(t)
	assert.Assert(t, wait(t, offerCall(t, d, 1).Reply).Answer == nil)
	refused := model.NewRefusal(1, model.ReasonTargetFailed, "connection refused")
	refused.TargetLost = true
	endCall(t, d, refused)
	answer := wait(t, offerCall(t, d, 2).Reply).Answer
	assert.Equal(t, answer.Run, model.NotRun)
	assert.Equal(t, answer.Reason, model.ReasonTargetFailed)

	target.probes <- false
	target.probes <- true
	for id := model.CallID(3); ; id++ {
		if wait(t, offerCall(t, d, id).Reply).Answer == nil {
			return
		}
		time.Sleep(5 * time.Millisecond)
		assert.Assert(t, id < 400, "no trial call was admitted")
	}
}
