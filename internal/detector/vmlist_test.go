package detector

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"coltsfootplank/internal/kernel"
	"coltsfootplank/internal/protocol"
)

// routerList is a VM list of n routers. If down is set, it can't be read.
type routerList struct {
	n    int
	down bool
}

type unreadableError struct{}

func (unreadableError) Error() string { return "the list can't be read" }

func (l routerList) VMs(context.Context) ([]kernel.VM, error) {
	if l.down {
		return nil, unreadableError{}
	}
	vms := make([]kernel.VM, l.n)
	for i := range vms {
		vms[i] = kernel.VM{Address: fmt.Sprintf("10.0.0.%d:1", i+1), Role: RoleRouter, State: kernel.VMLive}
	}
	return vms, nil
}

// countingList is an empty VM list that counts its reads.
type countingList struct{ reads *int }

func (l countingList) VMs(context.Context) ([]kernel.VM, error) {
	*l.reads++
	return nil, nil
}

// TestVMListReads guards against repeated reads of the VM list, which the store charges for, by a router that knows
// other members, and against a router that stays isolated because it doesn't read the list again.
func TestVMListReads(t *testing.T) {
	for _, c := range []struct {
		members, want int
	}{{1, 1}, {0, 5}} {
		synctest.Test(t, func(t *testing.T) {
			reads := 0
			d := New(Settings{Name: "r", Address: "10.0.0.1:1", VMListInterval: time.Hour, VMList: countingList{&reads}}, nil)
			d.Ready()
			ctx, cancel := context.WithTimeout(t.Context(), 22*time.Second)
			defer cancel()
			var group errgroup.Group
			group.Go(func() error { return d.pollVMList(ctx) })
			time.Sleep(time.Second)
			for i := range c.members {
				row := &protocol.Member{Name: fmt.Sprint("m", i), Address: "10.0.1.1:1", Incarnation: 1, State: alive}
				_, err := d.Handle(t.Context(), &protocol.GossipRequest{From: row})
				assert.NilError(t, err)
			}
			assert.ErrorIs(t, group.Wait(), context.DeadlineExceeded)
			assert.Equal(t, reads, c.want)
		})
	}
}

// TestAllowanceShare guards against routers that start together, each knowing only itself, and that together grant the
// workspaces' allowances many times over.
func TestAllowanceShare(t *testing.T) {
	cases := []struct {
		name    string
		list    kernel.VMListProtocol
		members int
		want    float64
	}{
		{"no list", nil, 0, 1},
		{"list not read", routerList{down: true}, 0, 1.0 / assumedRouters},
		{"only itself of ten", routerList{n: 10}, 0, 0.1},
		{"half of ten", routerList{n: 10}, 4, 0.5},
		{"all of five", routerList{n: 5}, 4, 1},
		{"more than are listed", routerList{n: 2}, 4, 1},
		{"the only listed router", routerList{n: 1}, 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := New(Settings{Name: "r", Address: "10.0.0.1:1", VMList: c.list}, nil)
				d.Ready()
				if c.list != nil {
					d.readVMList(t.Context())
				}
				for i := range c.members {
					row := &protocol.Member{Name: fmt.Sprint("m", i), Address: "10.0.1.1:1", Incarnation: 1, State: alive}
					_, err := d.Handle(t.Context(), &protocol.GossipRequest{From: row})
					assert.NilError(t, err)
				}
				time.Sleep(time.Millisecond)
				assert.Equal(t, d.View().AllowanceShare(func(Member) bool { return true }), c.want)
			})
		})
	}
}
