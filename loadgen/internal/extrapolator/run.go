package extrapolator

import (
	"context"
	"fmt"
	"io"
	"time"
)

// sharedFigures are the results that one role passes to later ones and to the totals per node.
type sharedFigures struct {
	layout layout
	// gossipBytes and gossipCPU are the bytes and CPU seconds that membership takes per second on each node.
	gossipBytes, gossipCPU float64
	// pollBytes and pollCPU are the bytes and CPU seconds of one poll of one engine; each engine is polled once a second.
	pollBytes, pollCPU float64
	// reportBytes is the size of one load report without cache events.
	reportBytes float64
	// ticketBytes and ticketCPU are the cost of one request, linkBytes and linkCPU that of one idle link per second. A
	// link is the stream between a node and a scheduler node.
	ticketBytes, ticketCPU, linkBytes, linkCPU    float64
	batchedBytes, batchedMessages, ticketMessages float64
	decisionCPU                                   float64
}

// Run measures all roles and returns the report. Progress goes to diagnostics.
func Run(ctx context.Context, diagnostics io.Writer) (*Report, error) {
	report := newReport()
	f := &sharedFigures{layout: computeLayout(memberNames(scaleNodes))}
	roles := []struct {
		name string
		run  func(context.Context, *Report, *sharedFigures) error
	}{
		{"caller front", reportFront},
		{"engine scheduler", reportScheduler},
		{"tickets", reportTickets},
		{"membership", reportMembership},
		{"claims", reportClaims},
		{"catalogue", reportCatalogue},
		{"orders and leases", reportOrders},
	}
	for _, role := range roles {
		start := time.Now()
		if err := role.run(ctx, report, f); err != nil {
			return nil, Error.New("%s: %w", role.name, err)
		}
		// A failed write of the progress line doesn't affect the results.
		_, _ = fmt.Fprintf(diagnostics, "%s: measured in %.0f s\n", role.name, time.Since(start).Seconds())
	}
	reportNodes(report, f)
	return report, nil
}

// measureSizes calls measure for each size and returns the points of each figure.
func measureSizes[T any](sizes []int, measure func(size int) (T, error), figures ...func(T) float64) ([][]Point, error) {
	points := make([][]Point, len(figures))
	for _, size := range sizes {
		result, err := measure(size)
		if err != nil {
			return nil, err
		}
		for i, figure := range figures {
			points[i] = append(points[i], Point{Size: float64(size), Value: figure(result)})
		}
	}
	return points, nil
}
