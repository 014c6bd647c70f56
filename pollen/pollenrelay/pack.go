package pollenrelay

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollenstore"
)

// PackedValue is a compressed value of a reply; the entry itself has none.
type PackedValue struct {
	Key     string
	Version uint64
	// Size is the size of the value, in bytes.
	Size int
	Data []byte
}

const (
	// minPackedBytes is the size from which values are compressed; smaller ones fit into a few packets.
	minPackedBytes = 4 << 10
	// maxUnpackedBytes bounds a value that another instance states; the store's values have a megabyte at most.
	maxUnpackedBytes = 16 << 20
)

// packer compresses large values once for all followers.
//
// Load pattern: a configuration of hundreds of kilobytes changes, and dozens of followers fetch it at the same moment over the link on
// which the watcher serves callers.
type packer struct {
	mu sync.Mutex
	// packed holds the newest compressed value of each key; Data is nil if compression does not pay.
	packed map[string]PackedValue
}

func newPacker() *packer { return &packer{packed: make(map[string]PackedValue)} }

// pack moves the large values of a reply, whose entries must not be shared, to its packed values.
func (p *packer) pack(reply *Reply) {
	for i := range reply.Listing.Entries {
		p.packEntry(reply, &reply.Listing.Entries[i])
	}
	for i := range reply.Changes.Events {
		p.packEntry(reply, &reply.Changes.Events[i].Entry)
	}
}

func (p *packer) packEntry(reply *Reply, entry *pollenstore.Entry) {
	if len(entry.Value) < minPackedBytes {
		return
	}
	if packed := p.compress(*entry); packed.Data != nil {
		reply.PackedValues = append(reply.PackedValues, packed)
		entry.Value = nil
	}
}

// compress returns the compressed value of an entry.
func (p *packer) compress(entry pollenstore.Entry) PackedValue {
	p.mu.Lock()
	defer p.mu.Unlock()
	if packed, ok := p.packed[entry.Key]; ok && packed.Version == entry.Version && packed.Size == len(entry.Value) {
		return packed
	}
	packed := PackedValue{Key: entry.Key, Version: entry.Version, Size: len(entry.Value)}
	if data, err := deflate(entry.Value); err != nil {
		klog.ErrorS(err, "Value not compressed", "key", entry.Key, "revision", entry.Version)
	} else if len(data) < len(entry.Value) {
		packed.Data = data
	}
	p.packed[entry.Key] = packed
	return packed
}

func deflate(value []byte) ([]byte, error) {
	var data bytes.Buffer
	w, err := flate.NewWriter(&data, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(value); err != nil {
		return nil, err
	}
	err = w.Close()
	return data.Bytes(), err
}

// PackedValueError reports a compressed value that can't be used.
type PackedValueError struct {
	Key     string
	Version uint64
	Err     error
}

func (e *PackedValueError) Error() string {
	return fmt.Sprintf("compressed value of key %q at revision %d: %v", e.Key, e.Version, e.Err)
}

func (e *PackedValueError) Unwrap() error { return e.Err }

// unpack restores the values of the reply's entries; its error is a *PackedValueError.
func (r *Reply) unpack() error {
	for _, packed := range r.PackedValues {
		value, err := packed.value()
		if err != nil {
			return &PackedValueError{Key: packed.Key, Version: packed.Version, Err: err}
		}
		r.setValue(packed, value)
	}
	r.PackedValues = nil
	return nil
}

func (r *Reply) setValue(packed PackedValue, value []byte) {
	for i := range r.Listing.Entries {
		if entry := &r.Listing.Entries[i]; entry.Key == packed.Key && entry.Version == packed.Version {
			entry.Value = value
		}
	}
	for i := range r.Changes.Events {
		if event := &r.Changes.Events[i]; event.Entry.Key == packed.Key && event.Entry.Version == packed.Version && !event.Deleted {
			event.Entry.Value = value
		}
	}
}

// SizeError reports a compressed value that has another size than it states, or too large a one.
type SizeError struct {
	Stated, Actual int
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("value of %d bytes stated as %d bytes, %d allowed", e.Actual, e.Stated, maxUnpackedBytes)
}

func (p *PackedValue) value() ([]byte, error) {
	if p.Size < 0 || p.Size > maxUnpackedBytes {
		return nil, &SizeError{Stated: p.Size}
	}
	value := bytes.NewBuffer(make([]byte, 0, p.Size+bytes.MinRead))
	// One byte more than stated shows a longer value.
	if _, err := value.ReadFrom(io.LimitReader(flate.NewReader(bytes.NewReader(p.Data)), int64(p.Size)+1)); err != nil {
		return nil, err
	}
	if value.Len() != p.Size {
		return nil, &SizeError{Stated: p.Size, Actual: value.Len()}
	}
	return value.Bytes(), nil
}
