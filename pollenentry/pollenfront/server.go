package pollenfront

import (
	"net/http"
	"net/netip"

	"pollenline.example/pollen/pollenlog"
)

// newHTTPServer returns a server of an instance, to whose connections a registry sets limits.
func newHTTPServer(address netip.AddrPort, handler http.Handler) *http.Server {
	return &http.Server{Addr: address.String(), Handler: handler, ErrorLog: pollenlog.NewServerErrorLog()}
}
