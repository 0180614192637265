// Package estimator estimates answer lengths and engine speeds from observations.
package estimator
