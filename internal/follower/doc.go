// Package follower tails one stream of the log by offset and passes its records to a callback.
package follower
