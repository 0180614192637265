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

// vmPollInterval is the default time between reads of the VM list, the time between retries after a failed read, and
// the timeout of a read.
const vmPollInterval = time.Second

// isolatedPollInterval is the maximum time between reads of the VM list while no other eligible member is known.
const isolatedPollInterval = 5 * time.Second

// RoleRouter is the role of routers in the VM list.
const RoleRouter = "router"

// vmHints is the information from the VM list. It is only a hint, because the list lags behind. It is replaced, never
// modified in place.
type vmHints struct {
	// routers are the addresses of VMs that may run a router.
	routers []string
	// leaving is the set of leaving addresses ("ip:port", or "ip" for a whole VM).
	leaving map[string]bool
	// read reports whether the list has been read. It is also true if there is no list.
	read bool
}

// isLeaving reports whether the VM of an address is leaving.
func (h vmHints) isLeaving(address string) bool {
	if len(h.leaving) == 0 {
		return false
	}
	host, _, err := net.SplitHostPort(address)
	return h.leaving[address] || err == nil && h.leaving[host]
}

// newVMHints converts the VM list. Router addresses without a port get the port of this router's own address.
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

// pollVMList reads the VM list until ctx ends. While the list can't be read, the last known one stays in use.
func (d *Detector) pollVMList(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var lastRead time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
		isolated := len(d.View().Eligible()) <= 1
		if lastRead.IsZero() || isolated || time.Since(lastRead) >= d.settings.VMListInterval {
			if !d.readVMList(ctx) {
				timer.Reset(vmPollInterval)
				continue
			}
			lastRead = time.Now()
		}
		// A router that has just started knows no other member, but soon will, so the list isn't read again at once.
		timer.Reset(min(isolatedPollInterval, d.settings.VMListInterval))
	}
}

// readVMList reads the VM list once and reports whether that succeeded.
func (d *Detector) readVMList(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, vmPollInterval)
	defer cancel()
	vms, err := d.settings.VMList.VMs(ctx)
	if err != nil {
		d.settings.Logger.Debug("reading the VM list failed", zap.Error(err))
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
