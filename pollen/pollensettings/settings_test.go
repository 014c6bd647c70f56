package pollensettings_test

import (
	"encoding/json"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/polleninstance"
	"pollenline.example/pollen/pollensettings"
)

const validSettings = `{
  "Name": "entry-1", "Zone": "viti-1", "CallerAddress": "127.0.0.1:7100", "OperatorAddress": "127.0.0.1:7101",
  "PeerAddress": "127.0.0.1:7102", "StoreAddress": "127.0.0.1:7000"
}`

// An error without the field, or an invalid value that is accepted, leaves an operator to search the file.
func TestParseReportsInvalidField(t *testing.T) {
	tests := []struct {
		name    string
		change  map[string]any
		problem string
	}{
		{"valid", nil, ""},
		{"unknown field", map[string]any{"Nmae": "x"}, "unknown field \"Nmae\""},
		{"missing name", map[string]any{"Name": ""}, "field Name: missing value"},
		{"missing address", map[string]any{"PeerAddress": ""}, "field PeerAddress: missing address"},
		{"address without port", map[string]any{"CallerAddress": "127.0.0.1"}, "not valid"},
		{"duration without unit", map[string]any{"StoreTimeout": "400"}, "not a duration with a unit"},
		{"duration as number", map[string]any{"StoreTimeout": 400}, "field StoreTimeout"},
		{"duration of zero", map[string]any{"StoreTimeout": "0s"}, "field StoreTimeout: 0s is not above zero"},
		{"share above one", map[string]any{"HedgeShare": 2}, "field HedgeShare"},
		{"no memory", map[string]any{"RememberedRequests": 0}, "field RememberedRequests"},
		{"unknown baseline", map[string]any{"Baseline": "Fast"}, "field Baseline"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			fields := make(map[string]any)
			c.Assert(json.Unmarshal([]byte(validSettings), &fields), qt.IsNil)
			for name, value := range test.change {
				fields[name] = value
			}
			data, err := json.Marshal(fields)
			c.Assert(err, qt.IsNil)
			err = pollensettings.Parse(data, polleninstance.DefaultSettings())
			if test.problem == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.IsNotNil)
			c.Assert(err.Error(), qt.Contains, test.problem)
		})
	}
}

// An error without the file's name does not tell which of several programs has invalid settings.
func TestLoadErrorNamesFile(t *testing.T) {
	err := pollensettings.Load("no-such-file.json", polleninstance.DefaultSettings())
	var fileError *pollensettings.FileError
	qt.Assert(t, errors.As(err, &fileError), qt.IsTrue)
	qt.Assert(t, fileError.File, qt.Equals, "no-such-file.json")
}

// Parse must not accept settings that Check rejects.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"SeedAddresses":["127.0.0.1:1"]} {}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		settings := polleninstance.DefaultSettings()
		if pollensettings.Parse(data, settings) == nil && settings.Check() != nil {
			t.Fatal("accepted settings fail their own check")
		}
	})
}
