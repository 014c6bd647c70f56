// Package pollenfield decodes JSON objects of writers that can't be trusted, by a table of their fields with bounds.
//
// Unlike encoding/json it tells a missing or null field from a zero one, and compares names by the letter.
package pollenfield
