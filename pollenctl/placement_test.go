package main

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a command that reads another form of a placement than instances write, and against an unknown route that looks like
// one without servers.
func TestPlacementIsPrinted(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("route") != "all" {
			http.Error(w, "no route", http.StatusNotFound)
			return
		}
		_, err := w.Write([]byte(`{"Route":"all","Outcome":"waits for capacity","Reason":"busy","Needed":1,"NeededAtStart":1,"Available":1,"Services":[{"Service":"s","Servers":[{"ID":"a","Zone":"z","HeldBack":"leaving"},{"ID":"b","Zone":"z","Probability":1,"ExpectedMillis":21.5,"AgeMillis":40,"InFlight":3}]}]}`))
		qt.Check(t, err, qt.IsNil)
	}))
	defer server.Close()
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	tests := []struct {
		route, want, wantErr string
	}{
		{"all", "all: waits for capacity (busy)\nservices: 1, available 1 of 1 needed, with capacity 0 of 1 needed at the start\n" +
			"Service  Server  Zone  Held back  Probability  Expected ms  Age ms  In flight  Capacity\n" +
			"s        a       z     leaving    0.00         0.0          0       0          false\n" +
			"s        b       z     -          1.00         21.5         40      3          false\n", ""},
		{"none", "", ".*404 Not Found: no route"},
		{"", "", ".*-route is required.*"},
	}
	for _, test := range tests {
		var text strings.Builder
		o := &placementOptions{address: address, route: test.route}
		err := o.show(t.Context(), &text)
		if test.wantErr != "" {
			qt.Check(t, err, qt.ErrorMatches, test.wantErr)
			continue
		}
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, text.String(), qt.Equals, test.want)
	}
}
