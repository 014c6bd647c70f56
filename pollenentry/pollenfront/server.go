package pollenfront

import (
	"log"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"k8s.io/klog/v2"
)

// newHTTPServer returns a server of an instance.
func newHTTPServer(address netip.AddrPort, handler http.Handler) *http.Server {
	return &http.Server{
		Addr: address.String(), Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout,
		ErrorLog: log.New(serverLog{}, "", 0),
	}
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

const (
	// readHeaderTimeout bounds how long a caller may take to send the headers of a request.
	readHeaderTimeout = 10 * time.Second
	// callerIdleTimeout is how long an idle connection of a caller is kept open.
	callerIdleTimeout = 2 * time.Minute
)
