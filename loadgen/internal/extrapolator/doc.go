// Package extrapolator measures the parts of the router on one machine at several sizes, fits a line to each
// figure, extrapolates it to the design scale and compares it with the budgets there. All traffic stays in memory
// or on the loopback interface.
package extrapolator
