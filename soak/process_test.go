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

// Events of the chart soak_process, in its order.
const (
	eventStart chart.EventID = iota
	eventPause
	eventResume
	eventTerm
	eventKill
	eventExited
)

// process is the node process of one machine. It signals only processes that it has
// started.
type process struct {
	m            *machine
	stateMachine *chart.Machine[*process]

	mu      sync.Mutex
	state   chart.StateID
	command *exec.Cmd
	exited  chan struct{} // closed when the current process has exited
}

func newProcess(m *machine) *process {
	return &process{m: m, stateMachine: chart.MustCompile(charts.MustRead("soak_process"), chart.Binding[*process]{
		States: []string{"down", "running", "paused", "stopping"},
		Events: []string{"start", "pause", "resume", "term", "kill", "exited"},
		Guards: map[string]func(*process) bool{},
		Actions: map[string]func(*process){
			"launch":                 (*process).launch,
			"send_stop":              func(p *process) { p.signal(syscall.SIGSTOP) },
			"send_continue":          func(p *process) { p.signal(syscall.SIGCONT) },
			"send_term":              func(p *process) { p.signal(syscall.SIGTERM) },
			"send_kill":              func(p *process) { p.signal(syscall.SIGKILL) },
			"report_unexpected_exit": func(p *process) { p.m.fleet.recorder.report("EXIT: the node of %s exited unexpectedly", p.m.name) },
		},
	})}
}

func (p *process) step(e chart.EventID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = p.stateMachine.Step(p, p.state, e)
}

// launch starts the program. If that fails, it reports a violation, but the state is
// running nevertheless.
func (p *process) launch() {
	out, err := os.OpenFile(p.m.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		p.m.fleet.recorder.report("open the log of %s: %v", p.m.name, err)
		return
	}
	defer out.Close()
	p.command = exec.Command(binaryPath, "mesh", "--advertise", p.m.peerProxyAddress)
	p.command.Env = append(os.Environ(), standin.SettingsVariable+"="+p.m.settingsPath)
	p.command.Stdout, p.command.Stderr = out, out
	if err := p.command.Start(); err != nil {
		p.m.fleet.recorder.report("start the node of %s: %v", p.m.name, err)
		return
	}
	p.exited = make(chan struct{})
	go p.wait(p.command, p.exited)
}

func (p *process) wait(command *exec.Cmd, exited chan struct{}) {
	_ = command.Wait() // the state tells whether the exit was expected
	close(exited)
	p.mu.Lock()
	current := p.command == command
	p.mu.Unlock()
	if current {
		p.step(eventExited)
	}
}

// signal sends a signal to the current process only.
func (p *process) signal(s syscall.Signal) {
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Signal(s) // the process may have exited meanwhile
	}
}

// sendHangup sends SIGHUP, on which the process reads its settings again.
func (p *process) sendHangup() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.signal(syscall.SIGHUP)
}

// waitExit waits until the current process has exited, and reports whether it did
// within the limit.
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
