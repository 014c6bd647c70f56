package pollenfront

import (
	"time"

	"pollenline.example/pollen/pollensuspect"
)

// refusalReceiver hands what other instances have refused to the forwarder, which is there before the relay serves.
type refusalReceiver struct{ frontend *Frontend }

// RecordRefusal implements pollenrelay.RefusalReceiver.
func (r *refusalReceiver) RecordRefusal(content pollensuspect.Fingerprint, until time.Time) {
	r.frontend.forwarder.RecordRefusal(content, until)
}

// RecordRepeat implements pollenrelay.RefusalReceiver.
func (r *refusalReceiver) RecordRepeat(content pollensuspect.Fingerprint) {
	r.frontend.forwarder.RecordRepeat(content)
}
