// Command rig2 runs the scripted cases of the second review: it starts routers as separate processes, with stand-ins for the
// platform's store, the engines and the requesters, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// longest is the time after which a case is given up.
const longest = 115 * time.Second

// bench is what a case works with.
type bench struct {
	record  *record
	routers *routers
	store   *store
	trouble bool
}

var cases = map[string]func(*bench) (bool, error){"poison": poison, "drain": drain, "crowd": crowd}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE ROOT FOLDER")
		os.Exit(cannotRun)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(cannotRun)
	}
	os.Exit(execute(run, os.Args[2], os.Args[3]))
}

func execute(run func(*bench) (bool, error), root, folder string) int {
	root, err := filepath.Abs(root)
	if err != nil {
		return cannotRun
	}
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		return cannotRun
	}
	s, err := newStore()
	if err != nil {
		return cannotRun
	}
	b := &bench{record: r, store: s, trouble: os.Getenv("TROUBLE") != "0"}
	b.routers = &routers{root: root, folder: temporary, record: r}
	defer func() {
		b.routers.killAll()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(temporary)
		} else {
			fmt.Println("logs in", temporary)
		}
	}()
	type result struct {
		broken bool
		err    error
	}
	results := make(chan result, 1)
	go func() {
		isBroken, err := run(b)
		results <- result{isBroken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case found := <-results:
		switch {
		case found.err != nil:
			r.say("the case could not run: %v", found.err)
			return cannotRun
		case found.broken:
			return broken
		}
		return held
	case <-signals:
	case <-time.After(longest):
		r.say("the case took too long")
	}
	return cannotRun
}
