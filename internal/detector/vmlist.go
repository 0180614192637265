package detector

import (
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"go.uber.org/zap"

	"coltsfootplank/internal/kernel"
)

// vmPollInterval is the usual time between reads of the VM list, and that between failed ones.
const vmPollInterval = time.Second

// lonelyInterval is the longest time between reads of the VM list while no other member is known.
const lonelyInterval = 5 * time.Second

// RoleRouter is the role of routers in the VM list.
const RoleRouter = "router"

// vmHints is what the VM list says: a hint, since the list lags behind. It is replaced, never changed in place.
type vmHints struct {
	// routers are addresses that may be routers.
	routers []string
	// leaving holds addresses ("ip:port", or "ip" for a whole VM) that are leaving.
	leaving map[string]bool
	// read says that the list has been read, or that there is none.
	read bool
}

// leaves says whether the VM of an address is leaving.
func (h vmHints) leaves(address string) bool {
	if len(h.leaving) == 0 {
		return false
	}
	host, _, err := net.SplitHostPort(address)
	return h.leaving[address] || err == nil && h.leaving[host]
}

// newVMHints converts the VM list. An address without a port gets the port of this router's own address.
func newVMHints(vms []kernel.VM, ownAddress string) vmHints {
	_, ownPort, _ := net.SplitHostPort(ownAddress)
	hints := vmHints{leaving: make(map[string]bool), read: true}
	for _, vm := range vms {
		if vm.State == kernel.VMLeaving {
			hints.leaving[vm.Address] = true
		}
		if vm.Role != RoleRouter || vm.State == kernel.VMLeaving {
			continue
		}
		address := vm.Address
		if _, _, err := net.SplitHostPort(address); err != nil && ownPort != "" {
			address = net.JoinHostPort(address, ownPort)
		}
		hints.routers = append(hints.routers, address)
	}
	slices.Sort(hints.routers)
	return hints
}

func (h vmHints) equal(other vmHints) bool {
	return h.read == other.read && slices.Equal(h.routers, other.routers) && maps.Equal(h.leaving, other.leaving)
}

// pollVMList reads the VM list until ctx ends. While the list can't be read, the last one stays in use.
func (d *Detector) pollVMList(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var read time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
		lonely := len(d.View().Eligible()) <= 1
		if read.IsZero() || lonely || time.Since(read) >= d.settings.VMListInterval {
			if !d.readVMList(ctx) {
				timer.Reset(vmPollInterval)
				continue
			}
			read = time.Now()
		}
		// A router that has just started knows no other yet, but soon does.
		timer.Reset(min(lonelyInterval, d.settings.VMListInterval))
	}
}

// readVMList returns whether the list could be read.
func (d *Detector) readVMList(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, vmPollInterval)
	defer cancel()
	vms, err := d.settings.VMList.VMs(ctx)
	if err != nil {
		d.settings.Logger.Debug("read VM list", zap.Error(err))
		return false
	}
	hints := newVMHints(vms, d.settings.Address)
	d.update(func(_ time.Time, t *table) {
		if !hints.equal(t.vms) {
			t.vms = hints
			t.changed = true
		}
	})
	return true
}
