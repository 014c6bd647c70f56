package pollensuspect

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"maps"
	"net/http"
	"slices"
)

// Fingerprint identifies requests with the same content: what a server would run, and for which caller.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// InvalidFingerprintError reports a text that is not a fingerprint.
type InvalidFingerprintError struct {
	Text string
}

func (e *InvalidFingerprintError) Error() string {
	return "not a fingerprint of 32 hexadecimal digits: " + e.Text
}

// ParseFingerprint returns the fingerprint that String has written.
func ParseFingerprint(text string) (Fingerprint, error) {
	var f Fingerprint
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(f) {
		return f, &InvalidFingerprintError{Text: text}
	}
	copy(f[:], data)
	return f, nil
}

// Content holds the parts of a request that a fingerprint covers.
type Content struct {
	Method string
	Host   string
	// Target is the path and query.
	Target string
	// Header holds the fields that stay the same when a caller repeats the request.
	Header http.Header
	Body   []byte
}

// Fingerprint returns the content's fingerprint. The hash is cryptographic, so that no caller can make a request with the
// fingerprint of another one.
func (c Content) Fingerprint() Fingerprint {
	h := sha256.New()
	writeField(h, []byte(c.Method))
	writeField(h, []byte(c.Host))
	writeField(h, []byte(c.Target))
	for _, name := range slices.Sorted(maps.Keys(c.Header)) {
		writeField(h, []byte(name))
		for _, value := range c.Header[name] {
			writeField(h, []byte(value))
		}
	}
	writeField(h, c.Body)
	return Fingerprint(h.Sum(nil)[:16])
}

// writeField writes a field after its length, so that different fields never look the same when joined.
func writeField(h hash.Hash, field []byte) {
	// A hash's Write returns no error.
	_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(field))))
	_, _ = h.Write(field)
}
