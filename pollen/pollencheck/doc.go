// Package pollencheck asserts invariants in running programs.
//
// Assertions are always compiled in. A violation is counted and logged; under test it panics.
package pollencheck
