// Command harness runs one case of the review: it starts the programs of the deploy file as
// separate processes on loopback addresses, against small stand-ins of the users' platform,
// and checks one rule by what callers, executors and the platform see.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could
// not run. With TROUBLE=0 the case leaves its disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseTimeout ends a case that hangs.
const caseTimeout = 110 * time.Second

// cases are the cases by name.
var cases = map[string]func(*world, bool){
	"upkeep-takeover":   upkeepTakeover,
	"draining-unlisted": drainingUnlisted,
	"waiting-count":     waitingCount,
	"flapping-executor": flappingExecutor,
	"lasting-failures":  lastingFailures,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		return exitFailed
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	w, err := newWorld(rec)
	if err != nil {
		rec.add("harness", "cannot run: %v", err)
		return exitFailed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("harness", "case %s, trouble %v", os.Args[1], trouble)
	return w.play(cases[os.Args[1]], trouble)
}

// failure is panicked by a case that cannot run.
type failure string

// play runs a case and ends all processes that it has started.
func (w *world) play(f func(*world, bool), trouble bool) int {
	finished := make(chan string, 1)
	go func() {
		defer func() {
			if value := recover(); value != nil {
				finished <- fmt.Sprint(value)
			}
		}()
		f(w, trouble)
		finished <- ""
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	problem := "the case did not end in time"
	select {
	case problem = <-finished:
	case <-interrupted:
		problem = "interrupted"
	case <-time.After(caseTimeout):
	}
	w.close()
	if problem != "" {
		w.rec.add("harness", "cannot run: %s", problem)
		return exitFailed
	}
	broken := w.violations()
	for _, v := range broken {
		w.rec.add("judge", "BROKEN %s", v)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	w.rec.add("judge", "the rule held")
	return exitHeld
}
