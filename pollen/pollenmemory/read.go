package pollenmemory

import (
	"errors"
	"fmt"
	"io"
	"sync"
)

// TooLongError reports a body that is longer than allowed.
type TooLongError struct {
	MaxBytes int64
}

func (e *TooLongError) Error() string { return fmt.Sprintf("body of more than %d bytes", e.MaxBytes) }

const (
	// minChunkBytes is the size of the first buffer for a body of unknown length.
	minChunkBytes = 512
	// maxChunkBytes is the size of the largest buffer; a longer body is read into several and joined at its end, so that a
	// body without end leaves no outgrown buffers behind.
	maxChunkBytes = 64 << 10
)

// ReadBody reads a body of at most maxBytes; sizeHint is its stated length, or below 0 if it is not known.
//
// Its errors are *TooLongError, *ExhaustedError and those of the reader. The bytes of a body that was read completely are
// kept in the account.
func ReadBody(body io.Reader, sizeHint, maxBytes int64, account *Account) ([]byte, error) {
	if sizeHint > maxBytes {
		return nil, &TooLongError{MaxBytes: maxBytes}
	}
	reservation := account.NewReservation()
	data, err := readAll(body, min(max(sizeHint+1, minChunkBytes), maxChunkBytes), maxBytes, reservation)
	if err != nil {
		reservation.Release()
		return nil, err
	}
	reservation.Keep()
	return data, nil
}

// fullChunks holds buffers of maxChunkBytes for reuse: bodies that are cut leave many behind, faster than they are
// collected.
var fullChunks = sync.Pool{New: func() any { return new([maxChunkBytes]byte) }}

// readAll reads to the end, into buffers that are reserved before they are allocated.
func readAll(body io.Reader, firstBytes, maxBytes int64, reservation *Reservation) ([]byte, error) {
	var chunks [][]byte
	defer func() { recycle(chunks) }()
	total := int64(0)
	for size := firstBytes; ; size = min(2*size, maxChunkBytes) {
		if err := reservation.Grow(size); err != nil {
			return nil, err
		}
		chunk, err := readChunk(body, size)
		chunks = append(chunks, chunk)
		total += int64(len(chunk))
		switch {
		case total > maxBytes:
			return nil, &TooLongError{MaxBytes: maxBytes}
		case err == nil:
			continue
		case !errors.Is(err, io.EOF):
			return nil, err
		case len(chunks) == 1:
			// The only buffer is returned, so it must not be used again.
			chunks = nil
			return chunk, nil
		}
		return join(chunks, total, reservation)
	}
}

// readChunk reads until size bytes are read or the reader returns an error.
func readChunk(body io.Reader, size int64) ([]byte, error) {
	var chunk []byte
	if size == maxChunkBytes {
		chunk = fullChunks.Get().(*[maxChunkBytes]byte)[:]
	} else {
		chunk = make([]byte, size)
	}
	for read := 0; ; {
		n, err := body.Read(chunk[read:])
		read += n
		if err != nil || read == len(chunk) {
			return chunk[:read], err
		}
	}
}

// recycle makes the buffers of chunks that are no longer used available again.
func recycle(chunks [][]byte) {
	for _, chunk := range chunks {
		if cap(chunk) == maxChunkBytes {
			fullChunks.Put((*[maxChunkBytes]byte)(chunk[:maxChunkBytes]))
		}
	}
}

// join returns the chunks as one slice, and leaves only its size reserved.
func join(chunks [][]byte, total int64, reservation *Reservation) ([]byte, error) {
	chunkBytes := reservation.Bytes()
	if err := reservation.Grow(total); err != nil {
		return nil, err
	}
	data := make([]byte, 0, total)
	for _, chunk := range chunks {
		data = append(data, chunk...)
	}
	reservation.Shrink(chunkBytes)
	return data, nil
}
