package extrapolator

import (
	"runtime"
	"syscall"
	"time"
)

// cost is what a piece of work took of this process.
type cost struct {
	cpu    time.Duration
	allocs float64
	wall   time.Duration
}

// spent measures work by the processor time of the process, which other processes on a busy machine don't change
// much, unlike wall time.
func spent(work func() error) (cost, error) {
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
	// Getrusage of the own process fails only for a wrong argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memory returns the bytes in use by live objects and stacks.
func memory() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// waitUntil polls until a condition holds. Errors: *TimeoutError.
func waitUntil(interval, limit time.Duration, waiting string, condition func() bool) error {
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			return &TimeoutError{Waiting: waiting}
		}
		time.Sleep(interval)
	}
	return nil
}
