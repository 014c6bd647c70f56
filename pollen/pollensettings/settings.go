package pollensettings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"
)

// ExitUsage is the exit status of a program with invalid settings or an invalid command line.
const ExitUsage = 2

// Checker is implemented by settings that validate their own values.
type Checker interface {
	// Check returns a *FieldError for the first invalid value.
	Check() error
}

// FieldError reports an invalid value in the settings.
type FieldError struct {
	// Field is the name of the field, or a place in parentheses if the error belongs to no known field.
	Field   string
	Problem string
}

func (e *FieldError) Error() string {
	return fmt.Sprintf("field %s: %s", e.Field, e.Problem)
}

// FileError reports a settings file that can't be read or is invalid.
type FileError struct {
	File string
	Err  error
}

func (e *FileError) Error() string {
	return fmt.Sprintf("settings %s: %v", e.File, e.Err)
}

func (e *FileError) Unwrap() error { return e.Err }

// Load reads a settings file into settings and validates them; it returns a *FileError if either fails.
func Load(file string, settings Checker) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return &FileError{File: file, Err: err}
	}
	if err := Parse(data, settings); err != nil {
		return &FileError{File: file, Err: err}
	}
	return nil
}

// Parse decodes settings from JSON and validates them; unknown fields are errors.
func Parse(data []byte, settings Checker) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(settings); err != nil {
		return wrapDecodeError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return &FieldError{Field: "(end of file)", Problem: "more than one JSON value"}
	}
	return settings.Check()
}

// Duration is a time.Duration whose text form carries a unit, such as "250ms".
type Duration time.Duration

// UnmarshalText parses a duration with a unit.
func (d *Duration) UnmarshalText(text []byte) error {
	duration, err := time.ParseDuration(string(text))
	if err != nil {
		// The JSON decoder doesn't pass the name of the field, so the error can't state it.
		return &FieldError{Field: "(duration)", Problem: fmt.Sprintf("%q is not a duration with a unit, such as \"250ms\"", text)}
	}
	*d = Duration(duration)
	return nil
}

// MarshalText formats the duration with a unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// RequireAddress returns a *FieldError unless the address has an IP address and a port above zero.
func RequireAddress(field string, address netip.AddrPort) error {
	if !address.IsValid() || address.Port() == 0 {
		return &FieldError{Field: field, Problem: "missing address: want an IP address and a port, such as \"127.0.0.1:7100\""}
	}
	return nil
}

// RequireText returns a *FieldError if the text is empty.
func RequireText(field, text string) error {
	if text == "" {
		return &FieldError{Field: field, Problem: "missing value"}
	}
	return nil
}

// RequirePositive returns a *FieldError unless the duration is above zero.
func RequirePositive(field string, d Duration) error {
	if d <= 0 {
		return &FieldError{Field: field, Problem: fmt.Sprintf("%v is not above zero", d.Std())}
	}
	return nil
}

// wrapDecodeError names the field of a JSON value of the wrong type.
func wrapDecodeError(err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return &FieldError{Field: typeError.Field, Problem: fmt.Sprintf("want %s, got %s", typeError.Type, typeError.Value)}
	}
	return fmt.Errorf("not valid: %w", err)
}
