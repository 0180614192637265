// Package extrapolator measures the components of the router on one machine at several sizes, fits a line to each
// figure, extrapolates it to the design scale and compares the result with the budgets for that scale. All traffic stays
// in memory or on the loopback interface.
package extrapolator
