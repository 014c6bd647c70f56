package polleninstance

import (
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

// countErrors counts the responses of a server whose HTTP status is an error, such as those to malformed requests.
func countErrors(handler http.Handler, errors *prometheus.CounterVec, audience string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := &statusRecorder{ResponseWriter: w}
		handler.ServeHTTP(recorder, r)
		if recorder.status >= http.StatusBadRequest {
			errors.WithLabelValues(audience, strconv.Itoa(recorder.status)).Inc()
		}
	})
}

func newErrorCounter(registry prometheus.Registerer) *prometheus.CounterVec {
	errors := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pollen_http_errors_total",
		Help: "Calls of callers and operators that were answered with an HTTP error.",
	}, []string{"audience", "status"})
	registry.MustRegister(errors)
	return errors
}

// statusRecorder remembers the status of a response.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader remembers the status.
func (r *statusRecorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the response itself.
func (r *statusRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }
