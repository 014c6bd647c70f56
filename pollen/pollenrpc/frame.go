package pollenrpc

import (
	"fmt"
	"io"
)

// MessageTooLargeError reports a message, or definitions of types, with more bytes than allowed.
type MessageTooLargeError struct {
	Bytes, MaxBytes uint64
}

func (e *MessageTooLargeError) Error() string {
	return fmt.Sprintf("message of %d bytes, %d are allowed", e.Bytes, e.MaxBytes)
}

// maxDefinitionBytes bounds the definitions of types on a connection, which a decoder keeps. Those of all calls together take a few
// kilobytes.
const maxDefinitionBytes = 64 << 10

// frameReader reads a stream of gob messages and checks their stated lengths before a decoder sees them: it allocates a message of up to
// 10 MB before any of it has come.
type frameReader struct {
	reader   io.Reader
	maxBytes uint64
	// onFrame is called with the length of each message, and returns an error if the message must not be read.
	onFrame func(bytes uint64) error

	// number decodes the length of the next message, or the type at its begin.
	number numberDecoder
	// left is the number of bytes of the current message that have not come; inType is set until the type at its begin is known.
	left   uint64
	inType bool
	length uint64
	// definitionBytes counts the messages that define types.
	definitionBytes uint64
}

// Read reads, and returns an error if what has come begins a message that is not allowed.
func (f *frameReader) Read(p []byte) (int, error) {
	n, err := f.reader.Read(p)
	if frameErr := f.scan(p[:n]); frameErr != nil {
		return 0, frameErr
	}
	return n, err
}

func (f *frameReader) scan(data []byte) error {
	for len(data) > 0 {
		if f.left > 0 && !f.inType {
			skipped := min(f.left, uint64(len(data)))
			f.left -= skipped
			data = data[skipped:]
			continue
		}
		value, complete := f.number.add(data[0])
		data = data[1:]
		if f.inType {
			f.left--
		}
		if !complete {
			// A type that does not end with its message is malformed, which the decoder reports.
			f.inType = f.inType && f.left > 0
			continue
		}
		var err error
		if f.inType {
			f.inType = false
			err = f.checkType(value)
		} else {
			err = f.beginFrame(value)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (f *frameReader) beginFrame(length uint64) error {
	if length > f.maxBytes {
		return &MessageTooLargeError{Bytes: length, MaxBytes: f.maxBytes}
	}
	f.length, f.left, f.inType = length, length, length > 0
	return f.onFrame(length)
}

// checkType counts a message that defines a type, whose number is negative: gob keeps the sign in the lowest bit.
func (f *frameReader) checkType(value uint64) error {
	if value&1 == 0 {
		return nil
	}
	if f.definitionBytes += f.length; f.definitionBytes > maxDefinitionBytes {
		return &MessageTooLargeError{Bytes: f.definitionBytes, MaxBytes: maxDefinitionBytes}
	}
	return nil
}

// numberDecoder decodes an unsigned integer of gob byte by byte: values up to 127 are one byte, others begin with the negated number of
// the bytes that follow.
type numberDecoder struct {
	following int
	value     uint64
}

// add takes the next byte, and returns the value if it is complete.
func (n *numberDecoder) add(b byte) (value uint64, complete bool) {
	const maxShort, maxFollowing = 0x7f, 8
	switch {
	case n.following == 0 && b <= maxShort:
		return uint64(b), true
	case n.following == 0:
		// A number with more bytes is malformed, and counts as one that is too large.
		if n.following = -int(int8(b)); n.following > maxFollowing {
			n.following = 0
			return ^uint64(0), true
		}
		n.value = 0
		return 0, false
	}
	n.value = n.value<<8 | uint64(b)
	n.following--
	return n.value, n.following == 0
}
