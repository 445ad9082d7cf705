package soak

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/oleanderworks/oleanderworks/charts"
	"github.com/oleanderworks/oleanderworks/core/chart"
	"github.com/oleanderworks/oleanderworks/platform/standin"
)

// Events of the chart soak_process, in the order of its list.
const (
	eventStart chart.EventID = iota
	eventPause
	eventResume
	eventTerminate
	eventKill
	eventExited
)

// process controls the node process of an instance. It sends signals only to processes
// that it has started.
type process struct {
	inst         *instance
	stateMachine *chart.Machine[*process]

	mu     sync.Mutex
	state  chart.StateID
	cmd    *exec.Cmd
	exited chan struct{} // closed when the latest started process has exited
}

func newProcess(inst *instance) *process {
	return &process{inst: inst, stateMachine: chart.MustCompile(charts.MustRead("soak_process"), chart.Binding[*process]{
		States: []string{"down", "running", "paused", "stopping"},
		Events: []string{"start", "pause", "resume", "terminate", "kill", "exited"},
		Guards: map[string]func(*process) bool{},
		Actions: map[string]func(*process){
			"launch":                 (*process).launch,
			"send_sigstop":           func(p *process) { p.signal(syscall.SIGSTOP) },
			"send_sigcont":           func(p *process) { p.signal(syscall.SIGCONT) },
			"send_sigterm":           func(p *process) { p.signal(syscall.SIGTERM) },
			"send_sigkill":           func(p *process) { p.signal(syscall.SIGKILL) },
			"report_unexpected_exit": func(p *process) { p.inst.fleet.recorder.report("EXIT: node %s exited unexpectedly", p.inst.name) },
		},
	})}
}

// step applies an event of the chart.
func (p *process) step(e chart.EventID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = p.stateMachine.Step(p, p.state, e)
}

// launch starts the program. If that fails, it reports a violation; the chart enters
// state running nevertheless.
func (p *process) launch() {
	out, err := os.OpenFile(p.inst.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		p.inst.fleet.recorder.report("open the log of node %s: %v", p.inst.name, err)
		return
	}
	defer out.Close()
	p.cmd = exec.Command(binaryPath, "mesh", "--advertise", p.inst.peerProxyAddress)
	p.cmd.Env = append(os.Environ(), standin.SettingsVariable+"="+p.inst.settingsPath)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		p.inst.fleet.recorder.report("start node %s: %v", p.inst.name, err)
		return
	}
	p.exited = make(chan struct{})
	go p.monitor(p.cmd, p.exited)
}

// monitor waits until a process has exited. It passes the event exited to the chart,
// unless a newer process has been started.
func (p *process) monitor(cmd *exec.Cmd, exited chan struct{}) {
	_ = cmd.Wait() // the chart decides by its state whether the exit is a violation
	close(exited)
	p.mu.Lock()
	current := p.cmd == cmd
	p.mu.Unlock()
	if current {
		p.step(eventExited)
	}
}

// signal sends a signal to the latest started process.
func (p *process) signal(s syscall.Signal) {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s) // the process may have exited meanwhile
	}
}

// sendHangup sends SIGHUP, which makes the process reload its settings.
func (p *process) sendHangup() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.signal(syscall.SIGHUP)
}

// waitExit waits until the latest started process has exited, and reports whether it
// did within the limit.
func (p *process) waitExit(limit time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}
