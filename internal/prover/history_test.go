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

// sampleCatalogue records a router's catalogue revision, except while the router is frozen or shortly afterwards.
func (c *cluster) sampleCatalogue(ctx context.Context, r *router) error {
	var last *cataloguer.Catalogue
	var sum string
	for ctx.Err() == nil {
		current := r.cataloguer.Current()
		if current != last {
			last, sum = current, digest(current)
		}
		c.mu.Lock()
		from, wasFrozen := c.sampledFrom[r.name]
		if current.Revision > 0 && (!wasFrozen || time.Now().After(from)) {
			c.history.InForce = append(c.history.InForce, checker.InForce{
				At: time.Now(), Router: r.name, Revision: current.Revision, Digest: sum})
		}
		c.mu.Unlock()
		time.Sleep(sampleInterval)
	}
	return ctx.Err()
}

func digest(catalogue *cataloguer.Catalogue) string {
	data, _ := yaml.Marshal(catalogue)
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:8])
}

// location is where a step occurred.
type location struct{ router, upstream string }

// reportStep reports a step to the current onStep function.
func (c *cluster) reportStep(step string, at location) {
	c.mu.Lock()
	onStep := c.onStep
	c.mu.Unlock()
	onStep(step, at)
}

// observedLog reports the control-plane steps that use the log.
type observedLog struct {
	*fakes.Log
	cluster *cluster
	router  string
}

func (l observedLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	step := stream + "_append"
	if stream == cataloguer.Stream && strings.Contains(string(data), "kind: snapshot") {
		step = "snapshot"
	}
	l.cluster.reportStep(step, location{router: l.router})
	return l.Log.Append(ctx, stream, data)
}

func (l observedLog) Read(ctx context.Context, stream string, from int64, limit int,
	wait time.Duration,
) (kernel.LogPage, error) {
	page, err := l.Log.Read(ctx, stream, from, limit, wait)
	if len(page.Records) > 0 {
		l.cluster.reportStep(stream+"_read_back", location{router: l.router})
	}
	return page, err
}

// VMs implements kernel.VMListProtocol.
func (c *cluster) VMs(context.Context) ([]kernel.VM, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.vmListUnavailable {
		return nil, errors.New("VM list unavailable")
	}
	return c.vms, nil
}

// kill ends a router at once. What its goroutines still do has no effect on the other parts of the cluster.
func (c *cluster) kill(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.routers[name]
	r.killed = time.Now()
	r.cancel()
}

// edit changes the catalogue at a router. It doesn't retry an edit that is refused or whose result is unknown.
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
	c.history.Accepted = append(c.history.Accepted, checker.Accepted{
		At: time.Now(), Revision: revision, Digest: digest(wanted)})
}

// trimCatalogue removes catalogue records from the log after the retention time, until the cluster stops.
func (c *cluster) trimCatalogue() {
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

// stop ends all routers and returns the history. Events of a killed router after its end are left out.
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
