// Package pollenallowance decides whether a request of a team is within the team's rate and burst over all instances together.
//
// Load pattern: dozens of teams with a few requests per second each, whose callers use one, two or all instances and move between
// them within seconds. Each instance knows its own admissions exactly and those of the others from usage reports, so that a
// decision needs no message. What an instance may admit before the others know of it is bounded such that the sum over all
// instances stays within the overshoot and slack, also if instances are cut off from each other.
package pollenallowance
