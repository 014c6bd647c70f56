package main

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollenteam"
)

// Guards against a command that reads another form of the teams than instances write.
func TestTeamsArePrinted(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/teams" {
			w.WriteHeader(http.StatusNotFound)
		}
		_, err := w.Write([]byte(`[{"Name":"a","Priority":1,"PerSecond":18,"Burst":20,"Used":7,"UsedByAll":30,"WindowSeconds":5},{"Name":"b","Priority":null}]`))
		c.Check(err, qt.IsNil)
	}))
	defer server.Close()
	var teams []pollenteam.Status
	c.Assert(fetch(t.Context(), netip.MustParseAddrPort(server.Listener.Addr().String()), "/teams", &teams), qt.IsNil)
	var text strings.Builder
	c.Assert(printTeams(&text, teams), qt.IsNil)
	c.Assert(text.String(), qt.Equals, "Name  Priority  Per second  Burst  Used  By all  Window\na     1         18          20     7     30      5s\nb     -         -           -      0     0       0s\n")
}
