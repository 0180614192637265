package extrapolator

import (
	"runtime"
	"syscall"
	"time"
)

// cost is the CPU time, allocations and wall time of a piece of work in this process.
type cost struct {
	cpu    time.Duration
	allocs float64
	wall   time.Duration
}

// measureCost runs work and returns its cost. CPU is the processor time of this process, which unlike wall time depends
// little on other processes of a busy machine.
func measureCost(work func() error) (cost, error) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	cpu, start := processorTime(), time.Now()
	err := work()
	c := cost{cpu: processorTime() - cpu, wall: time.Since(start)}
	runtime.ReadMemStats(&after)
	c.allocs = float64(after.Mallocs - before.Mallocs)
	return c, err
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	// Getrusage with RUSAGE_SELF fails only for an invalid argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryInUse returns the bytes in use by live objects and stacks.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// waitUntil polls until condition returns true. description completes the sentence "timed out waiting until".
// Errors: *TimeoutError.
func waitUntil(interval, limit time.Duration, description string, condition func() bool) error {
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			return &TimeoutError{Condition: description}
		}
		time.Sleep(interval)
	}
	return nil
}
