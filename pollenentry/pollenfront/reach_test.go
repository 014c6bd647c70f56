package pollenfront

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollencatalog"
)

// Guards against an instance that takes servers which have no time to answer for unreachable, and against one that takes refused
// connections for busy servers.
func TestProbesTellBusyServersFromLostOnes(t *testing.T) {
	for _, listening := range []bool{true, false} {
		t.Run(fmt.Sprintf("listening %v", listening), func(t *testing.T) {
			c := qt.New(t)
			store := newStoreServer(t)
			store.configure(t.Context(), c, 1)
			f := startFrontend(t, c, "entry-1", store.address)
			var config pollencatalog.TableConfig
			for i := range 5 {
				// The system takes connections for a listener that accepts none.
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				c.Assert(err, qt.IsNil)
				t.Cleanup(func() { listener.Close() })
				if !listening {
					c.Assert(listener.Close(), qt.IsNil)
				}
				config.Servers = append(config.Servers, &pollencatalog.Server{
					ID: fmt.Sprint(i), Service: fmt.Sprint(i), Zone: fmt.Sprint(i), Address: netip.MustParseAddrPort(listener.Addr().String()),
				})
			}
			table := pollencatalog.NewTable(config)
			for _, server := range config.Servers {
				f.reach.Begin(server, 0, time.Now().Add(-time.Second))
			}
			suspects := f.reach.Suspects(table, time.Now())
			c.Assert(suspects, qt.HasLen, len(config.Servers))
			f.probeSuspects(t.Context(), suspects)
			f.reach.Review(table, time.Now())
			c.Assert(f.reach.CutOff(), qt.Equals, !listening)
		})
	}
}
