package pollenrelay

import (
	"errors"
	"fmt"
	"net/netip"
	"net/rpc"

	"pollenline.example/pollen/pollenversion"
)

// UnsupportedError reports a call that the other instance does not know, because it is of another build, or in which its settings let it
// take no part. It has not changed anything there.
type UnsupportedError struct {
	Address netip.AddrPort
	Method  string
}

func (e *UnsupportedError) Error() string {
	return fmt.Sprintf("instance %v does not support the call %s", e.Address, e.Method)
}

// errNoPart is the error of a call in which an instance takes no part; an empty reply would be taken for an answer. Its text is part of
// the protocol, as net/rpc sends the text only.
var errNoPart = errors.New("pollenrelay: this instance takes no part in the call")

// isUnsupported reports whether another instance has answered that it does not support a call.
func isUnsupported(err error) bool {
	var answered rpc.ServerError
	return pollenversion.IsUnknownMethod(err) || errors.As(err, &answered) && string(answered) == errNoPart.Error()
}
