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

func sendGroup(w *world, ts *testscript.TestScript, args []string) {
	group, routers, work := args[0], strings.Split(args[1], ","), args[2]
	count, err := strconv.Atoi(args[3])
	ts.Check(err)
	every, tokens, key, prompt := time.Duration(0), 20, "", ""
	for _, arg := range args[4:] {
		name, value, _ := strings.Cut(arg, "=")
		switch name {
		case "every":
			every = duration(ts, value)
		case "tokens":
			tokens, err = strconv.Atoi(value)
			ts.Check(err)
		case "key":
			key = w.key(value)
		case "prompt":
			prompt = value
		default:
			ts.Fatalf("send: unknown option %s", arg)
		}
	}
	senders := w.sends[group]
	if senders == nil {
		senders = &errgroup.Group{}
		w.sends[group] = senders
	}
	senders.Go(func() error {
		for i := range count {
			o := order{group: group, router: routers[i%len(routers)], work: work, key: key, tokens: tokens}
			if o.prompt = prompt; prompt == "" {
				o.prompt = fmt.Sprintf("%s %s %d %s", group, work, i, strings.Repeat("abc ", 100))
			}
			if work == "booking" {
				if key == "" {
					o.key = uuid.Must(uuid.NewV7()).String()
				}
				o.body = fmt.Sprintf(`{"kind":"forge_booking","reference":"%s"}`, o.key)
			}
			w.sendOne(senders, o)
			time.Sleep(every)
		}
		return nil
	})
}

func (w *world) sendOne(senders *errgroup.Group, o order) {
	senders.Go(func() error {
		started := time.Now()
		a := w.send(o)
		a.order, a.Took = o, time.Since(started)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.answers = append(w.answers, a)
		return nil
	})
}

// key returns the idempotency key that a script calls by a name.
func (w *world) key(name string) string {
	if w.keys[name] == "" {
		w.keys[name] = uuid.Must(uuid.NewV7()).String()
	}
	return w.keys[name]
}

func (w *world) finishSends(ts *testscript.TestScript) {
	for _, senders := range w.sends {
		ts.Check(senders.Wait())
	}
}
