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

// platform is the name of the stand-in's process.
const platform = "platform"

type command = func(ts *testscript.TestScript, neg bool, args []string)

// commands are the commands of the scripts in addition to those of testscript.
var commands = map[string]command{
	// platform [ROUTER...]: starts the stand-in and the given routers, applies testdata/shared/catalogue.yaml and waits
	// until the routers are ready.
	"platform": withScenario(0, func(s *scenario, ts *testscript.TestScript, routers []string) {
		settings, err := s.render("platform.yaml", "")
		ts.Check(err)
		_, err = s.start(platform, "standin", "serve", "--settings", settings)
		ts.Check(err)
		s.requireWithin(ts, startTimeout, "the platform answers", func() bool { return s.getControl("/control/stats", &struct{}{}) == nil })
		if len(routers) > 0 {
			s.startCluster(ts, routers)
		}
	}),
	// router NAME...: starts routers r1 to r4.
	"router": withScenario(1, func(s *scenario, ts *testscript.TestScript, names []string) {
		for _, name := range names {
			ts.Check(s.startRouter(name))
		}
	}),
	// scheduler POOL ROUTER...: sets the variables FIRST to FOURTH to the routers in the order of the pool's ranking;
	// FIRST is the pool's scheduler.
	"scheduler": withScenario(2, func(_ *scenario, ts *testscript.TestScript, args []string) { setRanking(ts, args[0], args[1:]) }),
	// derive NEW OLD TEXT REPLACEMENT: writes a copy of a file in which every occurrence of TEXT is replaced.
	"derive": withScenario(4, func(s *scenario, ts *testscript.TestScript, args []string) {
		text, err := s.readFile(args[1])
		ts.Check(err)
		if !strings.Contains(text, args[2]) {
			ts.Fatalf("%s doesn't contain %s", args[1], args[2])
		}
		ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(strings.ReplaceAll(text, args[2], args[3])), 0o600))
	}),
	// send GROUP ROUTER[,ROUTER] WORK COUNT [every=D] [tokens=N] [key=K] [prompt=TEXT]: sends requests in the background,
	// to the routers in turn.
	"send": withScenario(4, sendGroup),
	// fault TARGET FAULT [VALUE] [for=D]: sets a fault in the stand-in.
	// fault clear TARGET: clears all faults of a target.
	"fault": withScenario(2, func(s *scenario, ts *testscript.TestScript, args []string) {
		if args[0] == "clear" {
			_, err := s.call("DELETE", s.basePort+portControl, "/control/faults?target="+args[1], "")
			ts.Check(err)
			return
		}
		request := map[string]any{"target": args[0], "fault": args[1]}
		for _, arg := range args[2:] {
			if text, isDuration := strings.CutPrefix(arg, "for="); isDuration {
				request["for_ms"] = parseDuration(ts, text).Milliseconds()
			} else if number, err := strconv.ParseFloat(arg, 64); err == nil {
				request["value"] = number
			} else {
				request["value"] = arg
			}
		}
		body, err := json.Marshal(request)
		ts.Check(err)
		at := time.Now()
		_, err = s.call("POST", s.basePort+portControl, "/control/faults", string(body))
		ts.Check(err)
		if args[1] == "leaving" {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.history.MarkedLeaving = append(s.history.MarkedLeaving, checker.MarkedLeaving{At: at, Upstream: args[0]})
		}
	}),
	// freeze, wake, sigkill and drain ROUTER: send SIGSTOP, SIGCONT, SIGKILL or SIGTERM to a router.
	"freeze":  signalCommand(syscall.SIGSTOP),
	"wake":    signalCommand(syscall.SIGCONT),
	"sigkill": signalCommand(syscall.SIGKILL),
	"drain": withScenario(1, func(s *scenario, ts *testscript.TestScript, args []string) {
		// An error is ignored: it only costs events, and eventsFromCallers covers the answered requests.
		_ = s.poll(args[0])
		ts.Check(s.stop(args[0]))
	}),
	// stopped ROUTER: waits until a planned stop has finished and requires exit code 0.
	"stopped": withScenario(1, func(s *scenario, ts *testscript.TestScript, args []string) {
		p := s.processes[args[0]]
		s.requireWithin(ts, stopTimeout, args[0]+" ends", func() bool { return !p.running() })
		if p.exitCode != 0 {
			ts.Fatalf("%s exited with %d: %s", args[0], p.exitCode, s.lastOutput(args[0]))
		}
	}),
	"apply":  withScenario(4, applyCatalogue),
	"race":   withScenario(5, raceCatalogue),
	"await":  withScenario(1, await),
	"expect": withScenario(2, expect),
	// within GROUP DURATION: requires that each answer of a group was complete within the duration.
	"within": withScenario(2, func(s *scenario, ts *testscript.TestScript, args []string) {
		s.waitForSends(ts)
		limit := parseDuration(ts, args[1])
		for _, a := range s.answersSoFar() {
			if a.Group == args[0] && a.Elapsed > limit {
				ts.Fatalf("an answer of %s at %s took %s\n%s", args[0], a.Router, a.Elapsed, s.trace(a))
			}
		}
	}),
	// repeat GROUP[@ROUTER] NEW ROUTER: sends the requests of a group that got no whole answer again with the same
	// idempotency keys, as the group NEW.
	"repeat": withScenario(3, func(s *scenario, ts *testscript.TestScript, args []string) {
		group, router, _ := strings.Cut(args[0], "@")
		s.waitForSends(ts)
		s.sendGroups[args[1]] = &errgroup.Group{}
		for _, a := range s.answersSoFar() {
			if a.Group == group && (router == "" || a.Router == router) && !a.Whole {
				spec := a.spec
				spec.group, spec.router = args[1], args[2]
				s.sendOne(s.sendGroups[args[1]], spec)
			}
		}
	}),
	// check INVARIANT...: verifies the history; each named invariant must have at least one case.
	"check": withScenario(1, func(s *scenario, ts *testscript.TestScript, args []string) {
		s.waitForSends(ts)
		history, err := s.collectHistory()
		ts.Check(err)
		if !slices.Contains(args, "P8") {
			// Accepted edits can be verified only if the script observes the routers for longer than the limit for
			// catalogue changes.
			history.Accepted = nil
		}
		logger := &reportLogger{T: s.t}
		prover.Report(logger, "scenario/"+strings.TrimPrefix(ts.Name(), "script-"), history, checker.DefaultBounds(), args...)
		if logger.failures > 0 {
			ts.Fatalf("%d invariants are violated or without cases, see the lines above", logger.failures)
		}
	}),
}

// reportLogger writes the lines of the prover's report to the test's log and counts the failures.
type reportLogger struct {
	testscript.T
	failures int
}

// Helper does nothing: the position in the code is not needed, since each line names the script.
func (*reportLogger) Helper() {}

func (r *reportLogger) Logf(format string, args ...any) { r.Log(fmt.Sprintf(format, args...)) }

// Errorf logs a line and counts it as a failure.
func (r *reportLogger) Errorf(format string, args ...any) {
	r.Logf(format, args...)
	r.failures++
}

// withScenario returns a command that checks the number of arguments and passes the scenario to execute.
func withScenario(minArgs int, execute func(*scenario, *testscript.TestScript, []string)) command {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg || len(args) < minArgs {
			ts.Fatalf("usage: see scenarios/commands_test.go")
		}
		execute(ts.Value(scenarioKey).(*scenario), ts, args)
	}
}

// signalCommand returns a command that sends a signal to a router.
func signalCommand(sig syscall.Signal) command {
	return withScenario(1, func(s *scenario, ts *testscript.TestScript, args []string) {
		if sig != syscall.SIGCONT {
			// Read the events before the process stops responding; an error is ignored because it only costs events.
			_ = s.poll(args[0])
		}
		p := s.processes[args[0]]
		p.frozen = sig == syscall.SIGSTOP
		ts.Check(p.signal(sig))
		if sig == syscall.SIGKILL {
			<-p.exited
		}
	})
}

// startCluster starts routers and waits until they know each other, use the catalogue and are ready.
func (s *scenario) startCluster(ts *testscript.TestScript, routers []string) {
	for _, name := range routers {
		ts.Check(s.startRouter(name))
	}
	await(s, ts, append([]string{"members", strconv.Itoa(len(routers))}, routers...))
	applyCatalogue(s, ts, []string{routers[0], "catalogue.yaml", "0", "accepted"})
	await(s, ts, append([]string{"revision", "1"}, routers...))
	await(s, ts, append([]string{"ready"}, routers...))
	setRanking(ts, "drafts", routers)
}

// setRanking sets the variables FIRST to FOURTH to the routers in the order of the pool's ranking.
func setRanking(ts *testscript.TestScript, pool string, routers []string) {
	for i, name := range ranker.Rank(ranker.Role(pool, 0), routers) {
		ts.Setenv([]string{"FIRST", "SECOND", "THIRD", "FOURTH"}[i], name)
	}
}

func parseDuration(ts *testscript.TestScript, text string) time.Duration {
	d, err := time.ParseDuration(text)
	ts.Check(err)
	return d
}

// requireWithin fails the script if a condition doesn't become true within the timeout.
func (s *scenario) requireWithin(ts *testscript.TestScript, timeout time.Duration, description string, condition func() bool) {
	if !s.waitUntil(timeout, condition) {
		ts.Fatalf("not fulfilled within %s: %s", timeout, description)
	}
}

// await implements the command "await" with these forms:
//
//	await DURATION
//	await sent GROUP...
//	await tokens GROUP N
//	await event ROUTER KIND N [KEY]
//	await ready ROUTER...
//	await members N ROUTER...
//	await revision N ROUTER...
//
// It fails after startTimeout, or for a revision after the time limit for catalogue changes.
func await(s *scenario, ts *testscript.TestScript, args []string) {
	description := strings.Join(args, " ")
	parseInt := func(text string) int {
		n, err := strconv.Atoi(text)
		ts.Check(err)
		return n
	}
	requireAll := func(timeout time.Duration, routers []string, holds func(string) bool) {
		s.requireWithin(ts, timeout, description, func() bool {
			return !slices.ContainsFunc(routers, func(r string) bool { return !holds(r) })
		})
	}
	switch args[0] {
	case "sent":
		for _, group := range args[1:] {
			ts.Check(s.sendGroups[group].Wait())
		}
	case "tokens":
		s.requireWithin(ts, startTimeout, description, func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.tokensReceived[args[1]] >= parseInt(args[2])
		})
	case "event":
		s.requireWithin(ts, startTimeout, description, func() bool {
			_ = s.poll(args[1])
			return len(s.eventsOf(func(e recorder.Event) bool {
				return e.Router == args[1] && string(e.Kind) == args[2] && (len(args) < 5 || e.Key == s.idempotencyKey(args[4]))
			})) >= parseInt(args[3])
		})
	case "ready":
		requireAll(startTimeout, args[1:], func(r string) bool { return s.respondsOK(r, "/ready") })
	case "members":
		requireAll(startTimeout, args[2:], func(r string) bool { return s.members(r) == parseInt(args[1]) })
	case "revision":
		requireAll(checker.DefaultBounds().CatalogueDelay, args[2:], func(r string) bool {
			inForce, err := s.catalogue(r)
			return err == nil && inForce.Revision >= uint64(parseInt(args[1]))
		})
	default:
		time.Sleep(parseDuration(ts, args[0]))
	}
}

// members returns the number of live members that a router knows.
func (s *scenario) members(router string) int {
	text, err := s.call("GET", s.routerPort(portAdmin, router), "/debug/state?section=members", "")
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

var expectationPattern = regexp.MustCompile(`^([a-z_+]+)(=|<=|>=)(\d+)$`)

// expect implements the command "expect GROUP[@ROUTER] WORD[+WORD](=|<=|>=)N...". It waits for all answers of the group
// and compares the number of those that match one of the words with N.
func expect(s *scenario, ts *testscript.TestScript, args []string) {
	group, router, _ := strings.Cut(args[0], "@")
	if senders := s.sendGroups[group]; senders != nil {
		ts.Check(senders.Wait())
	}
	var details []string
	for _, arg := range args[1:] {
		parts := expectationPattern.FindStringSubmatch(arg)
		if parts == nil {
			ts.Fatalf("expect: %s is not of the form WORD[+WORD](=|<=|>=)N", arg)
		}
		want, _ := strconv.Atoi(parts[3])
		got := 0
		details = details[:0]
		for _, a := range s.answersSoFar() {
			if a.Group != group || router != "" && a.Router != router {
				continue
			}
			if slices.ContainsFunc(strings.Split(parts[1], "+"), a.matches) {
				got++
			} else if !a.Whole {
				details = append(details, fmt.Sprintf("%s %s %s %s: %s\n%s", a.Router, a.RequestID, a.Outcome, a.Code, a.Detail, s.trace(a)))
			}
		}
		if parts[2] == "=" && got != want || parts[2] == "<=" && got > want || parts[2] == ">=" && got < want {
			ts.Fatalf("%s: want %s, got %d; other answers that aren't whole:\n%s", args[0], arg, got, strings.Join(details[:min(len(details), 10)], "\n"))
		}
	}
}

// trace lists the events of a request for failure messages.
func (s *scenario) trace(a answer) string {
	_ = s.poll(a.Router)
	var text strings.Builder
	for _, e := range s.eventsOf(func(e recorder.Event) bool { return e.RequestID == a.RequestID }) {
		fmt.Fprintf(&text, "\t%s %s %s %s %s\n", e.At.Format("05.000"), e.Kind, e.Upstream, e.Code, e.Detail)
	}
	return text.String()
}
