// Command harness-2 plays one scripted case against instances of dogwoodnotch that run as separate processes. The store of the users'
// platform, the minions and the clients are stand-ins in this process; everything listens on loopback addresses and runs on the
// real clock.
//
// Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"strings"
	"syscall"
	"time"
)

// caseTimeout ends a case that does not end by itself.
const caseTimeout = 110 * time.Second

// errCannotRun says that the case could not be played, so that it shows nothing about the rule.
var errCannotRun = errors.New("the case cannot run")

// cases are the scripted cases by name. Each returns the broken rules it saw, as text, or an error if it could not run.
var cases = map[string]func(*world, bool) ([]string, error){
	"quarantine":      playQuarantine,
	"own-failures":    playOwnFailures,
	"late-submit":     playLateSubmit,
	"long-tasks":      playLongTasks,
	"other-kind":      playOtherKind,
	"no-accelerators": playNoAccelerators,
	"large-job":       playLargeJob,
}

func main() {
	os.Exit(playCase())
}

func playCase() int {
	name := flag.String("case", "", "name of the case")
	daemon := flag.String("daemon", "target/dogwoodnotch", "path of the dogwoodnotch program")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play, known := cases[*name]
	if !known {
		names := make([]string, 0, len(cases))
		for n := range cases {
			names = append(names, n)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "cases:", strings.Join(names, ", "))
		return 2
	}
	rec, err := newRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, disruption %v", *name, trouble)
	w, err := newWorld(*daemon, rec)
	if err != nil {
		rec.note("cannot run: %v", err)
		return 2
	}
	defer w.close()
	type outcome struct {
		broken []string
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := play(w, trouble)
		done <- outcome{broken, err}
	}()
	var result outcome
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	select {
	case result = <-done:
	case sig := <-stop:
		result.err = fmt.Errorf("%w: %v", errCannotRun, sig)
	case <-time.After(caseTimeout):
		result.err = fmt.Errorf("%w: it took longer than %v", errCannotRun, caseTimeout)
	}
	if result.err != nil {
		rec.note("cannot run: %v", result.err)
		return 2
	}
	for _, b := range result.broken {
		rec.note("BROKEN %s", b)
	}
	if len(result.broken) > 0 {
		return 1
	}
	rec.note("the rule held")
	return 0
}
