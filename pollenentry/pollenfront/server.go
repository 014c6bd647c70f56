package pollenfront

import (
	"log"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"

	"k8s.io/klog/v2"
)

// newHTTPServer returns a server of an instance, to whose connections a registry sets limits.
func newHTTPServer(address netip.AddrPort, handler http.Handler) *http.Server {
	return &http.Server{Addr: address.String(), Handler: handler, ErrorLog: log.New(serverLog{}, "", 0)}
}

// serverLog writes what an HTTP server reports: panics of its handlers, which end connections without an answer, as errors, and what callers
// cause as details.
type serverLog struct{}

// panicPrefix begins the reports of panics.
const panicPrefix = "http: panic"

func (serverLog) Write(report []byte) (int, error) {
	text := strings.TrimSpace(string(report))
	if strings.HasPrefix(text, panicPrefix) {
		klog.ErrorS(nil, "Request handler panicked", "report", text)
	} else {
		slog.Debug(text)
	}
	return len(report), nil
}
