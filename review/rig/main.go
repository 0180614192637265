// Command rig plays the cases of the review against the project's router, with stand-ins for the platform's store, the
// engines and the requesters.
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

// cases maps the names of the cases to their functions, which return whether the rule held.
var cases = map[string]func(d *deployment, trouble bool) (held bool, err error){
	"deadly":  playDeadly,
	"uploads": playUploads,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "engine" {
		if err := runEngine(os.Args[2:]); err != nil {
			fatal(err)
		}
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fatal(fmt.Errorf("usage: rig CASE FOLDER"))
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		fatal(err)
	}
	// The deploy file's commands and paths are relative to the root of the repository.
	if err := os.Chdir(filepath.Join(folder, "..", "..")); err != nil {
		fatal(err)
	}
	record, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fatal(err)
	}
	d, err := newDeployment(record)
	if err != nil {
		fatal(err)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.log("case %s, trouble %v", os.Args[1], trouble)
	held, err := cases[os.Args[1]](d, trouble)
	d.stop()
	switch {
	case err != nil:
		record.log("the case couldn't run: %v", err)
		fatal(err)
	case held:
		record.log("the rule held")
		fmt.Println("the rule held")
		os.Exit(exitHeld)
	}
	record.log("the rule was broken")
	fmt.Println("the rule was broken")
	os.Exit(exitBroken)
}

func fatal(err error) {
	fmt.Fprintln(os.Stderr, "rig:", err)
	os.Exit(exitFailed)
}
