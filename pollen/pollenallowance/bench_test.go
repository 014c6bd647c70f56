package pollenallowance

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"pollenline.example/pollen/pollencatalog"
)

// BenchmarkTryAcquire measures a decision beside five and nineteen peers; it is made for each request of a limited team.
func BenchmarkTryAcquire(b *testing.B) {
	for _, registered := range []int{6, 20} {
		b.Run(fmt.Sprint(registered), func(b *testing.B) {
			team := &pollencatalog.Team{Name: "t", PerSecond: 1e9, Burst: 1e9}
			f := newFleet(registered, registered, 1, team)
			f.send(team, 10, 0, 3*time.Second, f.anywhere)
			f.run(3 * time.Second)
			b.ReportAllocs()
			for b.Loop() {
				f.instances[0].TryAcquire(team, f.now)
			}
		})
	}
}

// BenchmarkMessage measures the size of a report of 73 teams.
func BenchmarkMessage(b *testing.B) {
	m := Message{Instance: "zhaksy-entry-1", Incarnation: "0123456789abcdef", Age: time.Hour, Sequence: 1 << 20}
	for n := range 73 {
		m.Uses = append(m.Uses, Use{Team: fmt.Sprintf("ralo%03d", n), Admitted: 100_000, Demand: 1.234567, Level: 12.34567})
	}
	var buffer bytes.Buffer
	encoder := gob.NewEncoder(&buffer)
	if err := encoder.Encode(Message{}); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		buffer.Reset()
		if err := encoder.Encode(m); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(buffer.Len()), "bytes/message")
}
