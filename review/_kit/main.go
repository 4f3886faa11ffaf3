// Command kit plays the cases of the review that no day of the bench can play: a small deployment
// of the project's own processes on the loopback network, with stand-ins for the platform's
// store, the servers and the requesters.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name. A case reports whether the rule held.
var cases = map[string]func(d *deployment, trouble bool) bool{}

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case cannot run: "+format+"\n", args...)
	os.Exit(exitNotRun) // the kernel ends the processes that were started
}

func main() {
	if len(os.Args) != 3 {
		cannotRun("usage: kit CASE FOLDER")
	}
	play := cases[os.Args[1]]
	if play == nil {
		cannotRun("unknown case %s", os.Args[1])
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		os.Exit(exitNotRun)
	}()
	time.AfterFunc(119*time.Second, func() { cannotRun("not finished after 119 s") })
	rec := newRecord(os.Args[2])
	d := newDeployment(rec)
	held := play(d, os.Getenv("TROUBLE") != "0")
	d.end()
	d.saySound()
	rec.say("the rule held: %v", held)
	rec.close()
	if !held {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
