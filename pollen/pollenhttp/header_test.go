package pollenhttp

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against using an idle connection at the moment when the server closes it.
func TestKeepAliveTimeoutIsHalved(t *testing.T) {
	tests := []struct {
		value string
		want  time.Duration
	}{
		{"timeout=6", 3 * time.Second}, {"max=3, timeout=1", 500 * time.Millisecond}, {"", 0}, {"timeout=x", 0},
		{"timeout=0", time.Millisecond},
	}
	for _, test := range tests {
		qt.Assert(t, KeepAliveTimeout(http.Header{"Keep-Alive": {test.value}}), qt.Equals, test.want, qt.Commentf("%q", test.value))
	}
}
