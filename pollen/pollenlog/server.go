package pollenlog

import (
	"log"
	"log/slog"
	"strings"

	"k8s.io/klog/v2"
)

// NewServerErrorLog returns the log of an HTTP server's errors: panics of its handlers, which end connections without an answer, are errors,
// and what clients cause are details.
func NewServerErrorLog() *log.Logger { return log.New(serverLog{}, "", 0) }

// serverLog writes what an HTTP server reports.
type serverLog struct{}

// panicPrefix begins the reports of panics.
const panicPrefix = "http: panic"

// maxReportLines bounds the lines of a panic's report that are logged: it begins with the innermost calls.
const maxReportLines = 40

func (serverLog) Write(report []byte) (int, error) {
	text := strings.TrimSpace(string(report))
	if strings.HasPrefix(text, panicPrefix) {
		lines := strings.Split(text, "\n")
		klog.ErrorS(nil, "Request handler panicked", "report", lines[:min(len(lines), maxReportLines)])
	} else {
		slog.Debug(text)
	}
	return len(report), nil
}
