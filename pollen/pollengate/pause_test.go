package pollengate

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollencatalog"
)

// Guards against a log line for each refusal of a server that states a malformed pause.
func TestUnusablePauseIsLoggedOncePerServer(t *testing.T) {
	pauses := &Pauses{}
	server := &pollencatalog.Server{ID: "a"}
	qt.Assert(t, pauses.isFirstUnusable(server), qt.IsTrue)
	qt.Assert(t, pauses.isFirstUnusable(server), qt.IsFalse)
	restarted := *server
	restarted.StartedAt = time.Unix(1, 0)
	qt.Assert(t, pauses.isFirstUnusable(&restarted), qt.IsTrue)
}
