package pollencontrol

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"pollenline.example/pollen/pollenroute"
)

// Keys and key prefixes in the platform's store.
const (
	Prefix         = "pollenline/"
	KeyHead        = Prefix + "head"
	PrefixDocument = Prefix + "document/"
	PrefixInstance = Prefix + "instance/"
	PrefixGroup    = Prefix + "group/"
)

// Record is the value of an instance's key, which is attached to its lease.
type Record struct {
	Name        string
	Incarnation string
	Zone        string
	// Peer, Caller and Operator are the addresses at which the instance serves peers, callers and operators.
	Peer     netip.AddrPort
	Caller   netip.AddrPort
	Operator netip.AddrPort
	// Leaving is set once the instance must get no more callers and groups.
	Leaving bool
}

// Claim is the value of a group's key; it identifies the owner.
type Claim struct {
	Instance    string
	Incarnation string
}

// ValueError reports a value in the store that cannot be decoded.
type ValueError struct {
	Key string
	Err error
}

func (e *ValueError) Error() string { return fmt.Sprintf("value of %s: %v", e.Key, e.Err) }

func (e *ValueError) Unwrap() error { return e.Err }

// instance returns the instance that the record describes.
func (r *Record) instance() pollenroute.Instance {
	return pollenroute.Instance{
		Name: r.Name, Incarnation: r.Incarnation, Zone: r.Zone,
		Peer: r.Peer, Caller: r.Caller, Operator: r.Operator,
		Listed: !r.Leaving, Claims: !r.Leaving,
	}
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		// All types that are encoded here can be marshalled as JSON.
		panic(err)
	}
	return data
}
