// Package pollencheck asserts invariants in running programs.
//
// Assertions are always compiled in. A violation is counted, logged and, under test, fatal.
package pollencheck
