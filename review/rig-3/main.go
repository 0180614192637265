// Command rig-3 plays the cases of the third review: it starts routers as separate processes, stand-ins of the platform's store
// and of servers, and requesters, and checks one rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(c *caseRun) bool{
	"era-removal":     eraRemoval,
	"era-config":      eraConfig,
	"late-heartbeat":  lateHeartbeat,
	"era-new-service": eraNewService,
}

// caseRun is what a case has at hand.
type caseRun struct {
	trouble bool
	record  *record
	deploy  *deployment
}

var cleanUp = func() {}

func fatal(format string, arguments ...any) {
	fmt.Fprintf(os.Stderr, "rig-3: "+format+"\n", arguments...)
	cleanUp()
	os.Exit(exitFailed)
}

func check(err error) {
	if err != nil {
		fatal("%v", err)
	}
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fatal("usage: rig-3 CASE REPOSITORY RECORD")
	}
	root, err := filepath.Abs(os.Args[2])
	check(err)
	folder, err := os.MkdirTemp("", "rig-3-")
	check(err)
	c := &caseRun{trouble: os.Getenv("TROUBLE") != "0", record: newRecord(os.Args[3])}
	c.deploy = &deployment{root: root, folder: folder, bounds: siteBounds}
	cleanUp = func() {
		c.deploy.end()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(folder)
		} else {
			fmt.Fprintln(os.Stderr, "kept", folder)
		}
	}
	held := cases[os.Args[1]](c)
	cleanUp()
	if !held {
		c.record.note("the rule was broken")
		os.Exit(exitBroken)
	}
	c.record.note("the rule held")
	os.Exit(exitHeld)
}
