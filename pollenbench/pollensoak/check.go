package pollensoak

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"time"

	"pollenline.example/platform/pollenstage"
)

// Violation is a promise that was broken.
type Violation struct {
	Promise string
	Request string
	Detail  string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: request %s: %s", v.Promise, v.Request, v.Detail)
}

// promise is one check with what it holds the system to.
type promise struct {
	name  string
	about string
	check func(r *record, report func(request, format string, arguments ...any))
}

// promises lists all checks, in the order in which their violations are reported.
var promises = []promise{
	{"WholeAnswer", "a success is one server's whole answer to this request", checkWholeAnswer},
	{"OneSnapshot", "a merged answer is made of one version's shards, and says which are missing", checkOneSnapshot},
	{"AtMostOnce", "a request that must not be repeated runs once at most", checkAtMostOnce},
	{"NotRun", "a request that was refused has not run", checkNotRun},
	{"Attempts", "a request runs on as many servers of a service as its route allows at most", checkAttempts},
	{"Allowed", "a request runs on services that some version allows", checkAllowed},
	{"TimeLeft", "servers are given no more time than the caller has left", checkTimeLeft},
	{"Draining", "a leaving server gets no more requests after a while", checkDraining},
	{"Evacuated", "the servers of an evacuated zone get no more requests after a while", checkEvacuated},
	{"InForce", "a version is in force within its bound, and no older one after it", checkInForce},
	{"NothingCut", "planned work cuts no request", checkNothingCut},
	{"StopsInTime", "an instance ends in time and without an error after the signal to stop", checkStopsInTime},
	{"Recovers", "requests are served again some time after the last fault", checkRecovers},
}

// check returns the broken promises.
func (r *record) check() []Violation {
	var violations []Violation
	for _, p := range promises {
		p.check(r, func(request, format string, arguments ...any) {
			violations = append(violations, Violation{Promise: p.name, Request: request, Detail: fmt.Sprintf(format, arguments...)})
		})
	}
	return violations
}

func success(o pollenstage.Outcome) bool { return o.Status >= 200 && o.Status < 300 }

// route returns the newest route that a request could have been meant for, by its path.
func (r *record) route(path string) pollenstage.Route {
	for _, v := range slices.Backward(r.versions) {
		for _, route := range v.configuration.Routes {
			if route.Prefix == path {
				return route
			}
		}
	}
	return pollenstage.Route{}
}

func (r *record) instance(o pollenstage.Outcome) int { return r.instanceOf[o.Instance.String()] }

func runByStamp(runs []*pollenstage.Run, stamp string) *pollenstage.Run {
	for _, run := range runs {
		if run.Stamp == stamp {
			return run
		}
	}
	return nil
}

func checkWholeAnswer(r *record, report func(string, string, ...any)) {
	for _, o := range r.outcomes {
		if o.Status == 0 || o.Stamp == "" && !(success(o) && len(r.route(o.Request.Path).Shards) == 0) {
			continue
		}
		run := runByStamp(r.runs[o.Request.ID], o.Stamp)
		switch {
		case run == nil:
			report(o.Request.ID, "status %d with signature %q, which no server gave to this request", o.Status, o.Stamp)
		case run.Status != o.Status:
			report(o.Request.ID, "status %d instead of the server's %d", o.Status, run.Status)
		case !bytes.Equal(run.Body, o.Body):
			report(o.Request.ID, "body %q instead of %q", o.Body, run.Body)
		}
	}
}

func checkOneSnapshot(r *record, report func(string, string, ...any)) {
	for _, o := range r.outcomes {
		if route := r.route(o.Request.Path); success(o) && len(route.Shards) > 0 {
			r.checkMerged(o, route, report)
		}
	}
}

func (r *record) checkMerged(o pollenstage.Outcome, route pollenstage.Route, report func(string, string, ...any)) {
	services := make(map[string]bool)
	var records [][]byte
	for _, stamp := range o.Stamps {
		run := runByStamp(r.runs[o.Request.ID], stamp)
		if run == nil || services[run.Service] {
			report(o.Request.ID, "signature %q is of no answer to this request, or its service counts twice", stamp)
			return
		}
		services[run.Service] = true
		for body := run.Body; len(body) >= 16; body = body[16:] {
			records = append(records, body[:16])
		}
	}
	if !r.madeOfOneVersion(o, services) {
		report(o.Request.ID, "%d parts and %d missing make up no version's shards", len(services), o.Missing)
	}
	if total := len(services) + o.Missing; float64(len(services)) < route.Coverage*float64(total) {
		report(o.Request.ID, "%d of %d shards are less than the share %v", len(services), total, route.Coverage)
	}
	sort.Slice(records, func(a, b int) bool { return bytes.Compare(records[a], records[b]) > 0 })
	if want := bytes.Join(records[:min(route.Top, len(records))], nil); !bytes.Equal(want, o.Body) {
		report(o.Request.ID, "the records are not the greatest of the parts")
	}
}

func (r *record) madeOfOneVersion(o pollenstage.Outcome, services map[string]bool) bool {
	for _, v := range r.versions {
		for _, route := range v.configuration.Routes {
			if route.Prefix != o.Request.Path || v.sent.After(o.Ended) || len(route.Shards) != len(services)+o.Missing {
				continue
			}
			known := 0
			for _, shard := range route.Shards {
				if services[shard] {
					known++
				}
			}
			if known == len(services) {
				return true
			}
		}
	}
	return false
}

func checkAtMostOnce(r *record, report func(string, string, ...any)) {
	for _, o := range r.outcomes {
		if runs := r.runs[o.Request.ID]; !r.route(o.Request.Path).Idempotent && len(runs) > 1 {
			report(o.Request.ID, "ran %d times, on %s and %s", len(runs), runs[0].Server, runs[1].Server)
		}
	}
}

func checkNotRun(r *record, report func(string, string, ...any)) {
	for _, o := range r.outcomes {
		switch o.Status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if runs := r.runs[o.Request.ID]; len(runs) > 0 {
				report(o.Request.ID, "refused with %d and ran on %s", o.Status, runs[0].Server)
			}
		}
	}
}

func checkAttempts(r *record, report func(string, string, ...any)) {
	for _, o := range r.outcomes {
		servers := make(map[string]map[string]bool)
		for _, run := range r.runs[o.Request.ID] {
			if servers[run.Service] == nil {
				servers[run.Service] = make(map[string]bool)
			}
			servers[run.Service][run.Server] = true
		}
		for service, used := range servers {
			if allowed := r.route(o.Request.Path).Attempts; len(used) > allowed {
				report(o.Request.ID, "ran on %d servers of %s, %d allowed", len(used), service, allowed)
			}
		}
	}
}

func checkAllowed(r *record, report func(string, string, ...any)) {
	for _, o := range r.outcomes {
		for _, run := range r.runs[o.Request.ID] {
			if !r.allowed(o, run.Service, time.Time{}) {
				report(o.Request.ID, "ran on service %s, which no version allows for %s", run.Service, o.Request.Path)
			}
			if run.Method != o.Request.Method || run.Target != o.Request.Path {
				report(o.Request.ID, "ran as %s %s instead of %s %s", run.Method, run.Target, o.Request.Method, o.Request.Path)
			}
		}
	}
}

// allowed reports whether a version that was not replaced before a moment lets a request run on a service.
func (r *record) allowed(o pollenstage.Outcome, service string, since time.Time) bool {
	for n, v := range r.versions {
		if n+1 < len(r.versions) && !r.versions[n+1].acked.IsZero() && r.versions[n+1].acked.Before(since) {
			continue
		}
		for _, route := range v.configuration.Routes {
			if route.Prefix == o.Request.Path && (route.Service == service || slices.Contains(route.Shards, service)) {
				return true
			}
		}
	}
	return false
}

func checkTimeLeft(r *record, report func(string, string, ...any)) {
	for _, o := range r.outcomes {
		for _, run := range r.runs[o.Request.ID] {
			left := o.Sent.Add(o.Request.Timeout).Sub(run.ReceivedAt)
			// A link that was silent or slow delivers requests late.
			if run.TimeLeft > left+r.bounds.Overrun && r.undisturbed(r.instance(o), o.Sent, run.ReceivedAt) {
				report(o.Request.ID, "server %s was given %v with %v left", run.Server, run.TimeLeft, left)
			}
		}
	}
}

func checkDraining(r *record, report func(string, string, ...any)) {
	r.checkLeft(r.drains, r.bounds.Drain, func(run *pollenstage.Run) string { return run.Server }, report)
}

func checkEvacuated(r *record, report func(string, string, ...any)) {
	r.checkLeft(r.evacuations, r.bounds.Evacuate, func(run *pollenstage.Run) string { return run.Zone }, report)
}

// checkLeft reports runs where a change has forbidden them for longer than a bound.
func (r *record) checkLeft(changes []*change, bound time.Duration, name func(*pollenstage.Run) string, report func(string, string, ...any)) {
	for _, o := range r.outcomes {
		for _, run := range r.runs[o.Request.ID] {
			for _, c := range changes {
				if c.acked.IsZero() || c.name != name(run) || !run.StartedAt.After(c.acked.Add(bound)) || !c.undone.IsZero() && run.StartedAt.After(c.undone) {
					continue
				}
				if r.inTouch(r.instance(o), run.StartedAt) && r.inTouch(r.instance(o), c.acked.Add(bound)) {
					report(o.Request.ID, "ran on %s in %s %v after %s was acknowledged", run.Server, run.Zone, run.StartedAt.Sub(c.acked), c.name)
				}
			}
		}
	}
}

func checkInForce(r *record, report func(string, string, ...any)) {
	for _, o := range r.outcomes {
		if !r.inTouch(r.instance(o), o.Sent) {
			continue
		}
		since := o.Sent.Add(-r.bounds.Apply)
		for _, run := range r.runs[o.Request.ID] {
			if !r.allowed(o, run.Service, since) && r.allowed(o, run.Service, time.Time{}) {
				report(o.Request.ID, "ran on %s, which only versions replaced %v before allow", run.Service, r.bounds.Apply)
			}
		}
		if o.Status == http.StatusNotFound {
			report(o.Request.ID, "not found, though all versions have the route")
		}
	}
}

func checkNothingCut(r *record, report func(string, string, ...any)) {
	for _, o := range r.outcomes {
		if o.Status != 0 || o.ConnectFailed || o.Ended.Sub(o.Sent) >= o.Request.Timeout || !r.undisturbed(r.instance(o), o.Sent, o.Ended) {
			continue
		}
		if len(r.runs[o.Request.ID]) > 0 || o.Ended.Sub(o.Sent) > r.bounds.LossSlack {
			report(o.Request.ID, "cut after %v: %v", o.Ended.Sub(o.Sent), o.Err)
		}
	}
}

func checkStopsInTime(r *record, report func(string, string, ...any)) {
	for _, stop := range r.badStops {
		report("", "%s", stop)
	}
}

// fewestJudged is the number of requests below which a share says nothing.
const fewestJudged = 20

func checkRecovers(r *record, report func(string, string, ...any)) {
	served, asked := 0, 0
	for _, o := range r.outcomes {
		if o.Sent.After(r.quiet.Add(r.bounds.Recover)) {
			asked++
			if success(o) {
				served++
			}
		}
	}
	if asked < fewestJudged || float64(served) < r.bounds.RecoverShare*float64(asked) {
		report("", "%d of %d requests served %v after the last fault", served, asked, r.bounds.Recover)
	}
}
