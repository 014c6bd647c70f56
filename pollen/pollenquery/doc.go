// Package pollenquery is the root of a query: it pins a snapshot, fans out, merges and states coverage.
package pollenquery
