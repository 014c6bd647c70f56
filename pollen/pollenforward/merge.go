package pollenforward

import (
	"bytes"
	"slices"
)

// RecordBytes is the length in bytes of one record of a shard's answer.
const RecordBytes = 16

// Merge returns the greatest records of all bodies in descending order, at most top of them.
//
// Records are compared byte by byte, duplicates are kept, and a remainder shorter than a record is dropped.
func Merge(bodies [][]byte, top int) []byte {
	var records [][]byte
	for _, body := range bodies {
		for len(body) >= RecordBytes {
			records = append(records, body[:RecordBytes])
			body = body[RecordBytes:]
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(top, len(records))]
	merged := make([]byte, 0, len(records)*RecordBytes)
	for _, record := range records {
		merged = append(merged, record...)
	}
	return merged
}
