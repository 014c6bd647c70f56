package polleninstance

import (
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

// countHTTPErrors counts the responses of a handler with an HTTP error status, such as those to malformed requests.
//
// The audience is "caller" or "operator".
func countHTTPErrors(handler http.Handler, counter *prometheus.CounterVec, audience string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := &statusRecorder{ResponseWriter: w}
		handler.ServeHTTP(recorder, r)
		if recorder.status >= http.StatusBadRequest {
			counter.WithLabelValues(audience, strconv.Itoa(recorder.status)).Inc()
		}
	})
}

// newHTTPErrorCounter registers and returns the counter for countHTTPErrors.
func newHTTPErrorCounter(registry prometheus.Registerer) *prometheus.CounterVec {
	counter := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pollen_http_errors_total",
		Help: "Calls of callers and operators that were answered with an HTTP error.",
	}, []string{"audience", "status"})
	registry.MustRegister(counter)
	return counter
}

// statusRecorder records the HTTP status of a response.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter and records the status.
func (r *statusRecorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the wrapped response writer for http.ResponseController.
func (r *statusRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }
