// Package limiter counts what one workspace uses of one kind of work against its limits, and its retries.
package limiter
