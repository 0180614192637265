package prover_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"coltsfootplank/internal/cataloguer"
	"coltsfootplank/internal/checker"
	"coltsfootplank/internal/fakes"
	"coltsfootplank/internal/kernel"
)

// sample notes the revision in force, except while a router stands still or has only just gone on.
func (c *cluster) sample(ctx context.Context, r *router) error {
	var last *cataloguer.Catalogue
	var sum string
	for ctx.Err() == nil {
		current := r.cataloguer.Current()
		if current != last {
			last, sum = current, digest(current)
		}
		c.mu.Lock()
		thawed, still := c.thawed[r.name]
		if current.Revision > 0 && (!still || time.Now().After(thawed)) {
			c.history.InForce = append(c.history.InForce, checker.InForce{
				At: time.Now(), Router: r.name, Revision: current.Revision, Digest: sum})
		}
		c.mu.Unlock()
		time.Sleep(sampleEvery)
	}
	return ctx.Err()
}

func digest(catalogue *cataloguer.Catalogue) string {
	data, _ := yaml.Marshal(catalogue)
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:8])
}

// target is where a step was seen.
type target struct{ router, upstream string }

// seen passes a step on to the watcher.
func (c *cluster) seen(step string, at target) {
	c.mu.Lock()
	watch := c.watch
	c.mu.Unlock()
	watch(step, at)
}

// watchedLog sees the control steps that go through the log.
type watchedLog struct {
	*fakes.Log
	cluster *cluster
	router  string
}

func (l watchedLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	step := stream + "_append"
	if stream == cataloguer.Stream && strings.Contains(string(data), "kind: snapshot") {
		step = "snapshot"
	}
	l.cluster.seen(step, target{router: l.router})
	return l.Log.Append(ctx, stream, data)
}

func (l watchedLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (kernel.LogPage, error) {
	page, err := l.Log.Read(ctx, stream, from, limit, wait)
	if len(page.Records) > 0 {
		l.cluster.seen(stream+"_read_back", target{router: l.router})
	}
	return page, err
}

// VMs implements kernel.VMListProtocol.
func (c *cluster) VMs(context.Context) ([]kernel.VM, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.vmsLate {
		return nil, errors.New("the VM list is late")
	}
	return c.vms, nil
}

// kill ends a router at once: nothing that it still does has an effect outside.
func (c *cluster) kill(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.routers[name]
	r.killed = time.Now()
	r.cancel()
}

// edit changes the catalogue at a router; an edit that is refused or undecided is left to the next one.
func (c *cluster) edit(name string) {
	r := c.router(name)
	c.mu.Lock()
	c.revision++
	text := strings.NewReplacer("weight: 2", fmt.Sprintf("weight: %d", 2+c.revision),
		"model: m1", fmt.Sprintf("model: m%d", c.revision)).Replace(c.yaml)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(r.ctx, 10*time.Second)
	defer cancel()
	base := r.cataloguer.Current().Revision
	revision, _, err := r.cataloguer.Apply(ctx, base, name, []byte(fmt.Sprintf("revision: %d\n%s", base, text)))
	if err != nil || r.ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	wanted, _ := cataloguer.Parse([]byte(text))
	wanted.Revision = revision
	c.history.Accepted = append(c.history.Accepted, checker.Accepted{At: time.Now(), Revision: revision, Digest: digest(wanted)})
}

// retain drops catalogue records after the retention time, until stop.
func (c *cluster) retain() {
	var ends []int64
	for !c.stopped() {
		records := c.log.Records(cataloguer.Stream)
		end := int64(0)
		if len(records) > 0 {
			end = records[len(records)-1].Offset + 1
		}
		if ends = append(ends, end); len(ends) > int(retention/time.Second) {
			c.log.Trim(cataloguer.Stream, ends[0])
			ends = ends[1:]
		}
		time.Sleep(time.Second)
	}
}

func (c *cluster) stopped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.history.Ended.IsZero()
}

// stop ends all routers and returns the history.
func (c *cluster) stop() checker.History {
	ended := time.Now()
	c.mu.Lock()
	c.history.Ended = ended
	c.mu.Unlock()
	for _, r := range c.routers {
		r.cancel()
	}
	_ = c.group.Wait()
	c.network.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.routers {
		for _, event := range r.recorder.Events() {
			if (r.killed.IsZero() || event.At.Before(r.killed)) && event.At.Before(ended) {
				c.history.Events = append(c.history.Events, event)
			}
		}
	}
	for _, u := range append(append([]*upstream{}, c.engines...), c.desks...) {
		c.history.Runs = append(c.history.Runs, u.runs...)
	}
	return c.history
}
