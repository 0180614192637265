package scenarios

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"
	"golang.org/x/sync/errgroup"
)

// sendGroup implements the command "send"; its requests are sent in the background.
func sendGroup(s *scenario, ts *testscript.TestScript, args []string) {
	group, routers, work := args[0], strings.Split(args[1], ","), args[2]
	count, err := strconv.Atoi(args[3])
	ts.Check(err)
	interval, tokens, key, prompt := time.Duration(0), 20, "", ""
	for _, arg := range args[4:] {
		name, value, _ := strings.Cut(arg, "=")
		switch name {
		case "every":
			interval = parseDuration(ts, value)
		case "tokens":
			tokens, err = strconv.Atoi(value)
			ts.Check(err)
		case "key":
			key = s.idempotencyKey(value)
		case "prompt":
			prompt = value
		default:
			ts.Fatalf("send: unknown option %s", arg)
		}
	}
	senders := s.sendGroups[group]
	if senders == nil {
		senders = &errgroup.Group{}
		s.sendGroups[group] = senders
	}
	senders.Go(func() error {
		for i := range count {
			spec := requestSpec{group: group, router: routers[i%len(routers)], work: work, key: key, tokens: tokens}
			if spec.prompt = prompt; prompt == "" {
				spec.prompt = fmt.Sprintf("%s %s %d %s", group, work, i, strings.Repeat("abc ", 100))
			}
			if work == "booking" {
				if key == "" {
					spec.key = uuid.Must(uuid.NewV7()).String()
				}
				spec.body = fmt.Sprintf(`{"kind":"forge_booking","reference":"%s"}`, spec.key)
			}
			s.sendOne(senders, spec)
			time.Sleep(interval)
		}
		return nil
	})
}

// sendOne sends a request in the background and records its answer.
func (s *scenario) sendOne(senders *errgroup.Group, spec requestSpec) {
	senders.Go(func() error {
		started := time.Now()
		a := s.send(spec)
		a.spec, a.Elapsed = spec, time.Since(started)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.answers = append(s.answers, a)
		return nil
	})
}

// idempotencyKey returns the idempotency key that belongs to a name used in the script, and generates it at the first
// use.
func (s *scenario) idempotencyKey(name string) string {
	if s.idempotencyKeys[name] == "" {
		s.idempotencyKeys[name] = uuid.Must(uuid.NewV7()).String()
	}
	return s.idempotencyKeys[name]
}

// waitForSends waits until all requests sent so far have ended.
func (s *scenario) waitForSends(ts *testscript.TestScript) {
	for _, senders := range s.sendGroups {
		ts.Check(senders.Wait())
	}
}
