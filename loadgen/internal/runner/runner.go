// Package runner sends planned requests at their planned times, whether or not earlier requests were answered (open loop).
package runner

import (
	"context"
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/errgroup"

	"coltsfootplank/loadgen/internal/planner"
	"coltsfootplank/loadgen/internal/reporter"
	"coltsfootplank/loadgen/internal/sender"
	"coltsfootplank/loadgen/internal/statreader"
)

// progressInterval is the time between two progress lines.
const progressInterval = time.Second

// sendFunc sends one request and waits for the end of its answer.
type sendFunc func(ctx context.Context, request planner.Request, arrival time.Time) sender.Result

// Run sends all planned requests and returns the report. When the context ends, it stops sending, but waits up to the
// settle timeout for outstanding answers. It writes progress lines to progress.
func Run(ctx context.Context, settings *planner.Settings, progress io.Writer) (*reporter.Report, error) {
	before, err := statreader.Read(ctx, settings.Stats)
	if err != nil {
		return nil, err
	}
	s, closeAll := sender.New(settings.Routers, settings.AnswerTimeout)
	defer closeAll()
	report := run(ctx, settings, s.Send, progress)
	after, err := statreader.Read(context.WithoutCancel(ctx), settings.Stats)
	if err != nil {
		return report, err
	}
	difference := after.Since(before)
	report.Prefill, report.Duplicates = difference.Prefill, difference.Duplicates
	return report, nil
}

func run(ctx context.Context, settings *planner.Settings, send sendFunc, progress io.Writer) *reporter.Report {
	collector := reporter.NewCollector()
	start := time.Now()
	var progressPrinter errgroup.Group
	stopProgress := make(chan struct{})
	progressPrinter.Go(func() error {
		printProgress(collector, start, stopProgress, progress)
		return nil
	})
	sendAll(ctx, settings, send, collector, start)
	elapsed := time.Since(start)
	close(stopProgress)
	// The functions of both groups never return an error; the collector counts failed requests.
	_ = progressPrinter.Wait()
	return collector.Report(settings.Seed, elapsed)
}

// sendAll sends the planned requests and returns when all of them have a result.
func sendAll(ctx context.Context, settings *planner.Settings, send sendFunc, collector *reporter.Collector, start time.Time) {
	answerCtx, cancelAnswers := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelAnswers()
	var requests errgroup.Group
	requests.SetLimit(settings.MaxInFlight)
	plan := planner.New(settings)
	for request, more := plan.Next(); more; request, more = plan.Next() {
		arrival := start.Add(request.At)
		if !sleepUntil(ctx, arrival) {
			break
		}
		started := requests.TryGo(func() error {
			collector.Add(send(answerCtx, request, arrival))
			return nil
		})
		if !started {
			collector.Skipped()
			continue
		}
		collector.Sent()
	}
	settleTimer := time.AfterFunc(settings.SettleTimeout, cancelAnswers)
	defer settleTimer.Stop()
	_ = requests.Wait()
}

// sleepUntil reports whether the time was reached before the context ended.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}

func printProgress(collector *reporter.Collector, start time.Time, stop <-chan struct{}, progress io.Writer) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			// An error from the progress output must not stop the load.
			_, _ = fmt.Fprintln(progress, collector.Progress(time.Since(start)))
		}
	}
}
