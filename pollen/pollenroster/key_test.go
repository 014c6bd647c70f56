package pollenroster

import (
	"encoding/json"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollenversion"
)

// formerInstance is a registration as the landings 9238adb and 5871f8a decode it, with encoding/json and without a check for unknown fields.
type formerInstance struct {
	Name                       string
	Zone                       string
	CallerAddress, PeerAddress netip.AddrPort
	Processor                  float64
	Incarnation                string
	Ready, CutOff              bool
}

// Guards against registrations that instances of the landings before can't read, and against readers that need what those don't write.
func TestRegistrationIsReadBesideFormerLandings(t *testing.T) {
	c := qt.New(t)
	address := netip.MustParseAddrPort("10.1.0.9:8104")
	instance := pollencatalog.Instance{
		Name: "entry-1", Zone: "selfoss", CallerAddress: address, PeerAddress: address, Processor: 0.4, Incarnation: "01", Ready: true, CutOff: true,
		Protocol: pollenversion.Protocol, Build: "5871f8a01234",
	}
	key, value, err := EncodeInstance(instance)
	c.Assert(err, qt.IsNil)
	c.Assert(key, qt.Equals, "pollenline/instances/entry-1")
	var former formerInstance
	c.Assert(json.Unmarshal(value, &former), qt.IsNil)
	c.Assert(former, qt.Equals, formerInstance{
		Name: "entry-1", Zone: "selfoss", CallerAddress: address, PeerAddress: address, Processor: 0.4, Incarnation: "01", Ready: true, CutOff: true,
	})
	value, err = json.Marshal(former)
	c.Assert(err, qt.IsNil)
	decoded, err := DecodeInstance(value)
	c.Assert(err, qt.IsNil)
	instance.Protocol, instance.Build = 0, ""
	c.Assert(*decoded, qt.Equals, instance)
	later, err := DecodeInstance([]byte(`{"Name":"entry-1","Protocol":9,"Later":{"A":[1]}}`))
	c.Assert(err, qt.IsNil)
	c.Assert(later.Protocol, qt.Equals, 9)
}

// Guards against use of what a registered instance does not know yet.
func TestFleetProtocolIsLowest(t *testing.T) {
	tests := []struct {
		name     string
		stated   []int
		own, all int
	}{
		{"nobody is registered", nil, 2, 2},
		{"all know it", []int{2, 3}, 2, 2},
		{"one lags behind", []int{2, 1, 3}, 2, 1},
		{"one states nothing", []int{2, 0}, 2, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var instances []pollencatalog.Instance
			for _, n := range test.stated {
				instances = append(instances, pollencatalog.Instance{Protocol: n})
			}
			table := pollencatalog.NewTable(pollencatalog.TableConfig{Instances: instances})
			qt.Assert(t, table.Protocol(test.own), qt.Equals, test.all)
		})
	}
}
