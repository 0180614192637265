// Package ranker ranks members for roles by rendezvous hashing. Every router that knows the same members
// computes the same ranking, and a change of one member moves only the roles of that member.
package ranker
