// Package follower tails one stream of the log by offset and feeds a fold with its records.
package follower
