package pollenfront

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollensuspect"
)

// refusedContent is the JSON form of a verdict in the answers to operators.
type refusedContent struct {
	Content      string
	Since, Until time.Time
	Servers      int
	SeenBy       []string
}

// newOperatorHandler returns the handler of the metrics address: the metrics, and the list of contents of which requests are
// refused, from which operators may remove one.
func (f *Frontend) newOperatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", promhttp.HandlerFor(f.metrics.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /refused", f.listRefused)
	mux.HandleFunc("DELETE /refused/{content}", f.liftRefusal)
	return mux
}

func (f *Frontend) listRefused(w http.ResponseWriter, _ *http.Request) {
	list := []refusedContent{}
	for _, v := range f.suspects.Verdicts(time.Now()) {
		list = append(list, refusedContent{Content: v.Content.String(), Since: v.Since.UTC(), Until: v.Until.UTC(), Servers: v.Servers, SeenBy: v.Instances})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(list); err != nil {
		klog.V(1).InfoS("Writing the list of refused contents failed", "err", err)
	}
}

func (f *Frontend) liftRefusal(w http.ResponseWriter, r *http.Request) {
	content, err := pollensuspect.ParseFingerprint(r.PathValue("content"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !f.suspects.Lift(content, time.Now()) {
		http.Error(w, "there is no evidence against this content", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
