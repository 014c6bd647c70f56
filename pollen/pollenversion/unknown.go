package pollenversion

import (
	"errors"
	"net/rpc"
	"strings"
)

// unknownMethod begins the text with which net/rpc answers calls of an unknown service or method. It keeps the connection open.
const unknownMethod = "rpc: can't find "

// IsUnknownMethod reports whether another instance has answered a call of net/rpc that it does not know the method. The call has not run.
func IsUnknownMethod(err error) bool {
	var answered rpc.ServerError
	return errors.As(err, &answered) && strings.HasPrefix(string(answered), unknownMethod)
}
