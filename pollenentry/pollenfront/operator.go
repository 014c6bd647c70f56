package pollenfront

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"k8s.io/klog/v2"

	"pollenline.example/pollen/pollenallowance"
	"pollenline.example/pollen/pollencatalog"
	"pollenline.example/pollen/pollensuspect"
	"pollenline.example/pollen/pollenteam"
)

// refusedContent is the JSON form of a verdict in the answers to operators.
type refusedContent struct {
	Content      string
	Since, Until time.Time
	Servers      int
	SeenBy       []string
}

// newOperatorHandler returns the handler of the metrics address: the metrics, the teams, and the list of contents of which
// requests are refused, from which operators may remove one.
func (f *Frontend) newOperatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", promhttp.HandlerFor(f.metrics.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /teams", f.listTeams)
	mux.HandleFunc("GET /placement", f.showPlacement)
	mux.HandleFunc("GET /refused", f.listRefused)
	mux.HandleFunc("DELETE /refused/{content}", f.liftRefusal)
	return mux
}

// listTeams answers with the teams of the configuration in force, in its order and without their keys.
func (f *Frontend) listTeams(w http.ResponseWriter, _ *http.Request) {
	var teams []*pollencatalog.Team
	if configuration := f.view.Table().Configuration(); configuration != nil {
		teams = configuration.Teams
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(teamStatuses(teams, f.metrics.teamUsage, f.allowances.Usage(time.Now()), time.Now())); err != nil {
		klog.V(1).InfoS("Writing the list of teams failed", "err", err)
	}
}

// showPlacement answers where a request of the route that the query names would go now.
func (f *Frontend) showPlacement(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("route")
	configuration := f.view.Table().Configuration()
	if configuration == nil {
		http.Error(w, "no configuration is known yet", http.StatusServiceUnavailable)
		return
	}
	n := slices.IndexFunc(configuration.Routes, func(route *pollencatalog.Route) bool { return route.Name == name })
	if n < 0 {
		http.Error(w, fmt.Sprintf("no route %q in version %d", name, configuration.Version), http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(f.forwarder.Place(configuration.Routes[n], time.Now())); err != nil {
		klog.V(1).InfoS("Writing a placement failed", "err", err)
	}
}

// teamStatuses describes teams with what they have used.
func teamStatuses(teams []*pollencatalog.Team, usage *pollenteam.Usage, limited []pollenallowance.Usage, now time.Time) []pollenteam.Status {
	admitted := make(map[string]int, len(limited))
	for _, u := range limited {
		admitted[u.Name] = u.Admitted
	}
	list := []pollenteam.Status{}
	for _, team := range teams {
		status := pollenteam.Status{
			Name: team.Name, PerSecond: team.PerSecond, Burst: team.Burst, Used: usage.Used(team.Name, now), UsedByAll: admitted[team.Name], WindowSeconds: usage.Window().Seconds(),
		}
		if !team.RoutePriority {
			status.Priority = &team.Priority
		}
		list = append(list, status)
	}
	return list
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
