// Package limiter enforces the limits of workspaces: requests in flight and tokens per minute for each kind of work,
// allowances, and budgets for retries and repeats.
package limiter
