package pollenversion_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// docs/design/versions.md relies on these rules of gob. Guards against another understanding of them, and against an encoding that has others.
func TestRulesOfGob(t *testing.T) {
	type inner struct{ A, New int }
	type stated struct {
		A     int
		Zero  int
		List  []inner
		Added string
	}
	message := stated{A: 1, List: []inner{{A: 2, New: 3}}, Added: "x"}
	tests := []struct {
		name string
		read func(data []byte) (any, error)
		want any
		// refused is set if the whole message is refused.
		refused bool
	}{
		{"unknown fields are ignored, absent ones stay", decodeInto(struct {
			A, Absent int
			List      []struct{ A int }
		}{Absent: 7}), struct {
			A, Absent int
			List      []struct{ A int }
		}{1, 7, []struct{ A int }{{2}}}, false},
		{"zero values are not sent", decodeInto(struct{ A, Zero int }{Zero: 7}), struct{ A, Zero int }{1, 7}, false},
		{"whole numbers of another size", decodeInto(struct{ A int8 }{}), struct{ A int8 }{1}, false},
		{"one field of another type", decodeInto(struct {
			A     int
			Added int
		}{}), nil, true},
		{"signed and unsigned", decodeInto(struct{ A uint }{}), nil, true},
		{"no field in common", decodeInto(struct{ Other int }{}), nil, true},
		{"reader without fields", decodeInto(struct{}{}), struct{}{}, false},
	}
	data, err := gobCodec.encode(message)
	qt.Assert(t, err, qt.IsNil)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, err := test.read(data)
			if test.refused {
				qt.Assert(t, err, qt.IsNotNil)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}

// decodeInto returns a function that decodes a message over a value.
func decodeInto[T any](value T) func([]byte) (any, error) {
	return func(data []byte) (any, error) {
		err := gobCodec.decode(data, &value)
		return value, err
	}
}
