package extrapolator

import (
	"context"
	"fmt"
	"io"
	"time"
)

// figures is what the roles need of each other's measurements for the totals of a node.
type figures struct {
	layout layout
	// Bytes and seconds of CPU in a second of the mean and the busiest node, without tickets.
	gossipBytes, gossipCPU float64
	// pollBytes and pollCPU are for one engine in a second.
	pollBytes, pollCPU float64
	// reportBytes is for one load report without cache events.
	reportBytes float64
	// ticketBytes and ticketCPU are for one request, linkBytes and linkCPU for one idle link in a second.
	ticketBytes, ticketCPU, linkBytes, linkCPU float64
	batchedBytes, batchedMessages, messages    float64
	decision                                   float64
}

// Run measures all roles and returns the report. Progress goes to diagnostics.
func Run(ctx context.Context, diagnostics io.Writer) (*Report, error) {
	report := newReport()
	f := &figures{layout: place(memberNames(scaleNodes))}
	roles := []struct {
		name string
		run  func(context.Context, *Report, *figures) error
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
		// Progress that can't be shown changes nothing in the result.
		_, _ = fmt.Fprintf(diagnostics, "%s: measured in %.0f s\n", role.name, time.Since(start).Seconds())
	}
	reportNodes(report, f)
	return report, nil
}

// sizes measures at each size and collects the points of several figures.
func sizes[T any](list []int, measure func(size int) (T, error), figures ...func(T) float64) ([][]Point, error) {
	points := make([][]Point, len(figures))
	for _, size := range list {
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
