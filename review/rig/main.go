// Command rig plays the cases of the folder review that have a script: it starts nodes as
// separate processes, beside stand-ins of the store, the upstreams and the clients, and
// checks one rule by what these see.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could
// not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxPlayTime bounds the time of a case.
const maxPlayTime = 110 * time.Second

// playFunc plays a case. With trouble false it leaves out the disruption. It reports
// whether the rule was broken.
type playFunc func(f *fleet, trouble bool) (broken bool, err error)

var cases = map[string]playFunc{
	"slow-reader":      playSlowReader,
	"large-bodies":     playLargeBodies,
	"reused-address":   playReusedAddress,
	"forgotten-leave":  playForgottenLeave,
	"crashing-request": playCrashingRequest,
}

func main() {
	recordPath := flag.String("record", "", "file for what was sent, answered and run")
	program := flag.String("program", "target/oleanderworks", "program of the nodes")
	flag.Parse()
	os.Exit(run(flag.Arg(0), *recordPath, *program))
}

func run(name, recordPath, program string) int {
	play := cases[name]
	if play == nil || recordPath == "" {
		fmt.Fprintln(os.Stderr, "usage: rig --record FILE [--program FILE] CASE")
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := playIn(play, recordPath, program, trouble)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	case broken:
		fmt.Println("the rule was broken")
		return 1
	}
	fmt.Println("the rule held")
	return 0
}

func playIn(play playFunc, recordPath, program string, trouble bool) (bool, error) {
	absolute, err := filepath.Abs(program)
	if err != nil {
		return false, err
	}
	if _, err := os.Stat(absolute); err != nil {
		return false, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	rec, err := newRecord(recordPath)
	if err != nil {
		return false, err
	}
	defer rec.close()
	f, err := newFleet(dir, absolute, rec)
	if err != nil {
		return false, err
	}
	defer f.close()
	go f.endEarly()
	rec.add("trouble: %v", trouble)
	broken, err := play(f, trouble)
	rec.add("broken: %v, error: %v", broken, err)
	return broken, err
}

// endEarly ends all processes and this one when the case takes too long or is interrupted.
func (f *fleet) endEarly() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-interrupted:
	case <-time.After(maxPlayTime):
	}
	f.close()
	os.RemoveAll(f.dir)
	fmt.Fprintln(os.Stderr, "the case was ended early")
	os.Exit(2)
}
