package pollenfield

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
)

// Field describes a field of an object that is decoded into a T.
type Field[T any] struct {
	name     string
	optional bool
	// set stores a value, or reports false if it is of another type or out of bounds.
	set func(target *T, value json.RawMessage) bool
}

// InvalidError reports a required field that is missing, or a field without a usable value.
type InvalidError struct {
	Field string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("field %q is missing or has no usable value", e.Field)
}

// Decode stores the fields of an object in target and ignores fields that the table does not have. It returns an *InvalidError for the
// first field that is not usable, or an error of encoding/json.
func Decode[T any](data []byte, fields []Field[T], target *T) error {
	var values map[string]json.RawMessage
	if err := json.Unmarshal(data, &values); err != nil {
		return err
	}
	for _, f := range fields {
		value, stated := values[f.name]
		switch {
		case !stated && f.optional:
		case !stated, string(value) == "null", !f.set(target, value):
			return &InvalidError{Field: f.name}
		}
	}
	return nil
}

// Optional returns a field that may be missing.
func (f Field[T]) Optional() Field[T] {
	f.optional = true
	return f
}

// newField returns a field whose values are decoded by encoding/json and have to be accepted.
func newField[T, V any](name string, target func(*T) *V, accept func(V) bool) Field[T] {
	return Field[T]{name: name, set: func(t *T, value json.RawMessage) bool {
		return json.Unmarshal(value, target(t)) == nil && accept(*target(t))
	}}
}

// Text returns a field with a text that is not empty.
func Text[T any](name string, target func(*T) *string) Field[T] {
	return newField(name, target, func(text string) bool { return text != "" })
}

// Choice returns a field with one of some texts.
func Choice[T any](name string, choices []string, target func(*T) *string) Field[T] {
	return newField(name, target, func(text string) bool { return slices.Contains(choices, text) })
}

// Whole returns a field with a whole number within bounds.
func Whole[T any](name string, least, most int64, target func(*T) *int64) Field[T] {
	return newField(name, target, func(n int64) bool { return n >= least && n <= most })
}

// Number returns a field with a number within bounds.
func Number[T any](name string, least, most float64, target func(*T) *float64) Field[T] {
	return newField(name, target, func(n float64) bool { return n >= least && n <= most })
}

// Address returns a field with the address and port of a single host.
func Address[T any](name string, target func(*T) *netip.AddrPort) Field[T] {
	return newField(name, target, func(a netip.AddrPort) bool {
		return a.IsValid() && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
	})
}
