package pollenfakehost_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollenfakehost"
	"pollenline.example/pollen/polleninventory"
	"pollenline.example/pollen/pollensettings"
)

// TestInventoryServesOldListDuringLag guards against a new list that is served before the lag has passed, and checks
// that clients drop instances that are leaving.
func TestInventoryServesOldListDuringLag(t *testing.T) {
	c := qt.New(t)
	first := polleninventory.Entry{Name: "a", PeerAddress: netip.MustParseAddrPort("127.0.0.1:1"), State: polleninventory.StateLive}
	leaving := polleninventory.Entry{Name: "b", PeerAddress: netip.MustParseAddrPort("127.0.0.1:2"), State: polleninventory.StateLeaving}
	server := httptest.NewServer(pollenfakehost.NewInventoryHandler(&pollenfakehost.InventorySettings{
		Lag: pollensettings.Duration(time.Hour), Instances: []polleninventory.Entry{first, leaving},
	}))
	defer server.Close()
	body, err := json.Marshal(polleninventory.List{})
	c.Assert(err, qt.IsNil)
	response, err := http.Post(server.URL+pollenfakehost.PathSetInstances, "application/json", bytes.NewReader(body))
	c.Assert(err, qt.IsNil)
	c.Assert(response.Body.Close(), qt.IsNil)

	client := polleninventory.NewClient(polleninventory.ClientConfig{
		Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Timeout: time.Minute,
	})
	live, err := client.Instances(context.Background())
	c.Assert(err, qt.IsNil)
	c.Check(live, qt.HasLen, 1)
	c.Check(live[0].Name, qt.Equals, "a")
}

// TestInventoryClientReportsBadAnswers guards against an error status or a malformed body that passes for a list.
func TestInventoryClientReportsBadAnswers(t *testing.T) {
	tests := []struct {
		name, problem string
		handler       http.HandlerFunc
	}{
		{"status", "HTTP status 500", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }},
		{"not JSON", "invalid character", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<html>")) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(test.handler)
			defer server.Close()
			client := polleninventory.NewClient(polleninventory.ClientConfig{
				Address: netip.MustParseAddrPort(server.Listener.Addr().String()), Timeout: time.Minute,
			})
			_, err := client.Instances(context.Background())
			var listError *polleninventory.ListError
			qt.Assert(t, err, qt.ErrorAs, &listError)
			qt.Assert(t, err.Error(), qt.Contains, test.problem)
		})
	}
}
