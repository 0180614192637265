package scenarios

import (
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"golang.org/x/sync/errgroup"

	"coltsfootplank/internal/checker"
	"coltsfootplank/internal/prover"
	"coltsfootplank/internal/ranker"
	"coltsfootplank/internal/recorder"
)

const platform = "platform"

type command = func(ts *testscript.TestScript, neg bool, args []string)

// commands are the words of the scripts besides those of testscript.
var commands = map[string]command{
	// platform [ROUTER...]: starts the stand-in, and routers that are ready with testdata/shared/catalogue.yaml.
	"platform": with(0, func(w *world, ts *testscript.TestScript, routers []string) {
		settings, err := w.render("platform.yaml", "")
		ts.Check(err)
		_, err = w.start(platform, "standin", "serve", "--settings", settings)
		ts.Check(err)
		w.demand(ts, startTimeout, "the platform answers", func() bool { return w.control("/control/stats", &struct{}{}) == nil })
		if len(routers) > 0 {
			w.startCluster(ts, routers)
		}
	}),
	// router NAME...: starts routers r1 to r4.
	"router": with(1, func(w *world, ts *testscript.TestScript, names []string) {
		for _, name := range names {
			ts.Check(w.startRouter(name))
		}
	}),
	// scheduler POOL ROUTER...: sets FIRST, SECOND and so on to the routers in the pool's ranking.
	"scheduler": with(2, func(_ *world, ts *testscript.TestScript, args []string) { rank(ts, args[0], args[1:]) }),
	// derive NEW OLD TEXT REPLACEMENT: writes a copy of a file with one text replaced.
	"derive": with(4, func(w *world, ts *testscript.TestScript, args []string) {
		text, err := w.source(args[1])
		ts.Check(err)
		if !strings.Contains(text, args[2]) {
			ts.Fatalf("%s doesn't contain %s", args[1], args[2])
		}
		ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(strings.ReplaceAll(text, args[2], args[3])), 0o600))
	}),
	// send GROUP ROUTER[,ROUTER] WORK COUNT [every=D] [tokens=N] [key=K] [prompt=TEXT]: sends in the background.
	"send": with(4, sendGroup),
	// fault TARGET FAULT [VALUE] [for=D], fault clear TARGET
	"fault": with(2, func(w *world, ts *testscript.TestScript, args []string) {
		if args[0] == "clear" {
			_, err := w.call("DELETE", w.base+portControl, "/control/faults?target="+args[1], "")
			ts.Check(err)
			return
		}
		request := map[string]any{"target": args[0], "fault": args[1]}
		for _, arg := range args[2:] {
			if text, is := strings.CutPrefix(arg, "for="); is {
				request["for_ms"] = duration(ts, text).Milliseconds()
			} else if number, err := strconv.ParseFloat(arg, 64); err == nil {
				request["value"] = number
			} else {
				request["value"] = arg
			}
		}
		body, err := json.Marshal(request)
		ts.Check(err)
		at := time.Now()
		_, err = w.call("POST", w.base+portControl, "/control/faults", string(body))
		ts.Check(err)
		if args[1] == "leaving" {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.history.MarkedLeaving = append(w.history.MarkedLeaving, checker.MarkedLeaving{At: at, Upstream: args[0]})
		}
	}),
	// freeze, wake, sigkill and drain send a signal to a router.
	"freeze":  signal(syscall.SIGSTOP),
	"wake":    signal(syscall.SIGCONT),
	"sigkill": signal(syscall.SIGKILL),
	"drain": with(1, func(w *world, ts *testscript.TestScript, args []string) {
		// A frozen look would only miss events; callers' answers count.
		_ = w.look(args[0])
		ts.Check(w.stop(args[0]))
	}),
	// stopped ROUTER: awaits the end of a planned stop and demands exit code 0.
	"stopped": with(1, func(w *world, ts *testscript.TestScript, args []string) {
		p := w.processes[args[0]]
		w.demand(ts, stopTimeout, args[0]+" ends", func() bool { return !p.running() })
		if p.code != 0 {
			ts.Fatalf("%s exited with %d: %s", args[0], p.code, w.output(args[0]))
		}
	}),
	"apply":  with(4, applyCatalogue),
	"race":   with(5, raceCatalogue),
	"await":  with(1, await),
	"expect": with(2, expect),
	// within GROUP DURATION: demands that each answer of a group ended in time.
	"within": with(2, func(w *world, ts *testscript.TestScript, args []string) {
		w.finishSends(ts)
		limit := duration(ts, args[1])
		for _, a := range w.given() {
			if a.Group == args[0] && a.Took > limit {
				ts.Fatalf("an answer of %s at %s took %s\n%s", args[0], a.Router, a.Took, w.trace(a))
			}
		}
	}),
	// repeat GROUP@ROUTER NEW ROUTER: sends the requests of a group that got no whole answer again, with their keys.
	"repeat": with(3, func(w *world, ts *testscript.TestScript, args []string) {
		group, router, _ := strings.Cut(args[0], "@")
		w.finishSends(ts)
		w.sends[args[1]] = &errgroup.Group{}
		for _, a := range w.given() {
			if a.Group == group && (router == "" || a.Router == router) && !a.Whole {
				o := a.order
				o.group, o.router = args[1], args[2]
				w.sendOne(w.sends[args[1]], o)
			}
		}
	}),
	// check INVARIANT...: judges the history; each named invariant must have cases.
	"check": with(1, func(w *world, ts *testscript.TestScript, args []string) {
		w.finishSends(ts)
		history, err := w.collect()
		ts.Check(err)
		if !slices.Contains(args, "P8") {
			// Edits prove something only in scripts that watch the routers past the limit.
			history.Accepted = nil
		}
		r := &report{T: w.t}
		prover.Report(r, "scenario/"+strings.TrimPrefix(ts.Name(), "script-"), history, checker.DefaultBounds(), args...)
		if r.failures > 0 {
			ts.Fatalf("%d invariants are violated or without cases, see the lines above", r.failures)
		}
	}),
}

// report collects the lines of a prover's report.
type report struct {
	testscript.T
	failures int
}

// Helper does nothing: the lines name the script.
func (*report) Helper() {}

// Logf writes a line to the test's log.
func (r *report) Logf(format string, args ...any) { r.Log(fmt.Sprintf(format, args...)) }

// Errorf writes a line to the test's log and counts it.
func (r *report) Errorf(format string, args ...any) {
	r.Logf(format, args...)
	r.failures++
}

// with adapts a command that needs the world and a number of arguments.
func with(least int, run func(*world, *testscript.TestScript, []string)) command {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg || len(args) < least {
			ts.Fatalf("usage: see scenarios/commands_test.go")
		}
		run(ts.Value(worldKey).(*world), ts, args)
	}
}

func signal(number syscall.Signal) command {
	return with(1, func(w *world, ts *testscript.TestScript, args []string) {
		if number != syscall.SIGCONT {
			// The last look before a process stops answering; an error only costs events.
			_ = w.look(args[0])
		}
		p := w.processes[args[0]]
		p.frozen = number == syscall.SIGSTOP
		ts.Check(p.signal(number))
		if number == syscall.SIGKILL {
			<-p.ended
		}
	})
}

// startCluster starts routers and awaits that they know each other and the catalogue.
func (w *world) startCluster(ts *testscript.TestScript, routers []string) {
	for _, name := range routers {
		ts.Check(w.startRouter(name))
	}
	await(w, ts, append([]string{"members", strconv.Itoa(len(routers))}, routers...))
	applyCatalogue(w, ts, []string{routers[0], "catalogue.yaml", "0", "accepted"})
	await(w, ts, append([]string{"revision", "1"}, routers...))
	await(w, ts, append([]string{"ready"}, routers...))
	rank(ts, "drafts", routers)
}

func rank(ts *testscript.TestScript, pool string, routers []string) {
	for i, name := range ranker.Rank(ranker.Role(pool, 0), routers) {
		ts.Setenv([]string{"FIRST", "SECOND", "THIRD", "FOURTH"}[i], name)
	}
}

func duration(ts *testscript.TestScript, text string) time.Duration {
	d, err := time.ParseDuration(text)
	ts.Check(err)
	return d
}

// demand fails the script if a check doesn't hold within the limit.
func (w *world) demand(ts *testscript.TestScript, limit time.Duration, what string, check func() bool) {
	if !w.until(limit, check) {
		ts.Fatalf("not within %s: %s", limit, what)
	}
}

// await DURATION, await sent GROUP..., await tokens GROUP N, await event ROUTER KIND N [KEY], await ready ROUTER...,
// await members N ROUTER..., await revision N ROUTER... (within the target for catalogue changes).
func await(w *world, ts *testscript.TestScript, args []string) {
	what := strings.Join(args, " ")
	number := func(text string) int {
		n, err := strconv.Atoi(text)
		ts.Check(err)
		return n
	}
	all := func(limit time.Duration, routers []string, holds func(string) bool) {
		w.demand(ts, limit, what, func() bool {
			return !slices.ContainsFunc(routers, func(r string) bool { return !holds(r) })
		})
	}
	switch args[0] {
	case "sent":
		for _, group := range args[1:] {
			ts.Check(w.sends[group].Wait())
		}
	case "tokens":
		w.demand(ts, startTimeout, what, func() bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.progress[args[1]] >= number(args[2])
		})
	case "event":
		w.demand(ts, startTimeout, what, func() bool {
			_ = w.look(args[1])
			return len(w.eventsOf(func(e recorder.Event) bool {
				return e.Router == args[1] && string(e.Kind) == args[2] && (len(args) < 5 || e.Key == w.key(args[4]))
			})) >= number(args[3])
		})
	case "ready":
		all(startTimeout, args[1:], func(r string) bool { return w.answers200(r, "/ready") })
	case "members":
		all(startTimeout, args[2:], func(r string) bool { return w.members(r) == number(args[1]) })
	case "revision":
		all(checker.DefaultBounds().CatalogueDelay, args[2:], func(r string) bool {
			seen, err := w.catalogue(r)
			return err == nil && seen.Revision >= uint64(number(args[1]))
		})
	default:
		time.Sleep(duration(ts, args[0]))
	}
}

// members returns how many live members a router knows.
func (w *world) members(router string) int {
	text, err := w.call("GET", w.routerPort(portAdmin, router), "/debug/state?section=members", "")
	if err != nil {
		return 0
	}
	var dump struct {
		Sections struct {
			Members struct{ Members []struct{ State int } }
		}
	}
	if json.Unmarshal(text, &dump) != nil {
		return 0
	}
	alive := 0
	for _, member := range dump.Sections.Members.Members {
		if member.State == memberAlive {
			alive++
		}
	}
	return alive
}

var expectation = regexp.MustCompile(`^([a-z_+]+)(=|<=|>=)(\d+)$`)

// expect GROUP[@ROUTER] WORD[+WORD](=|<=|>=)N...: counts the answers of a group that has been sent.
func expect(w *world, ts *testscript.TestScript, args []string) {
	group, router, _ := strings.Cut(args[0], "@")
	if senders := w.sends[group]; senders != nil {
		ts.Check(senders.Wait())
	}
	var details []string
	for _, arg := range args[1:] {
		parts := expectation.FindStringSubmatch(arg)
		if parts == nil {
			ts.Fatalf("expect: %s is not WORD=N", arg)
		}
		want, _ := strconv.Atoi(parts[3])
		got := 0
		details = details[:0]
		for _, a := range w.given() {
			if a.Group != group || router != "" && a.Router != router {
				continue
			}
			if slices.ContainsFunc(strings.Split(parts[1], "+"), a.is) {
				got++
			} else if !a.Whole {
				details = append(details, fmt.Sprintf("%s %s %s %s: %s\n%s", a.Router, a.RequestID, a.Outcome, a.Code, a.Detail, w.trace(a)))
			}
		}
		if parts[2] == "=" && got != want || parts[2] == "<=" && got > want || parts[2] == ">=" && got < want {
			ts.Fatalf("%s: %s, got %d; others that aren't whole:\n%s", args[0], arg, got, strings.Join(details[:min(len(details), 10)], "\n"))
		}
	}
}

// trace lists the events of a request for the message of a failure.
func (w *world) trace(a answer) string {
	_ = w.look(a.Router)
	var text strings.Builder
	for _, e := range w.eventsOf(func(e recorder.Event) bool { return e.RequestID == a.RequestID }) {
		fmt.Fprintf(&text, "\t%s %s %s %s %s\n", e.At.Format("05.000"), e.Kind, e.Upstream, e.Code, e.Detail)
	}
	return text.String()
}
