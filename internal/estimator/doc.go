// Package estimator estimates answer lengths and engine speeds from what was observed.
package estimator
