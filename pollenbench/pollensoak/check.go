package pollensoak

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"pollenline.example/platform/pollenfakeplatform"
)

// Violation reports one observation that contradicts a promise.
type Violation struct {
	Promise string
	// Request is the ID of the request concerned, empty if the promise is not about a single request.
	Request string
	Detail  string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: request %s: %s", v.Promise, v.Request, v.Detail)
}

// promise is a property that callers and backend servers rely on, with the check that looks for violations in a record.
type promise struct {
	name        string
	description string
	check       func(r *record, report func(request, format string, arguments ...any))
}

// promises lists all promises in the order in which their violations are reported.
var promises = []promise{
	{"WholeAnswer", "a successful response is one server's complete, unmodified response to this request", checkWholeAnswer},
	{"OneSnapshot", "a merged response combines the shards of a single configuration version and states how many are missing", checkOneSnapshot},
	{"AtMostOnce", "a non-idempotent request runs at most once", checkAtMostOnce},
	{"NotRun", "a rejected request did not run on any server", checkNotRun},
	{"Attempts", "a request runs on no more servers of a service than its route allows", checkAttempts},
	{"Allowed", "a request runs only on services that some configuration version allows for its route", checkAllowed},
	{"TimeLeft", "the timeout passed to a server does not exceed the caller's remaining time", checkTimeLeft},
	{"Draining", "a draining server receives no requests after the drain bound", checkDraining},
	{"Evacuated", "servers of an evacuated zone receive no requests after the evacuation bound", checkEvacuated},
	{"StatedLimit", "a server that states how many requests per second it takes gets no more, within the tolerance", checkStatedLimit},
	{"Leaving", "a server that has announced to an instance's caller that it leaves gets no newer requests from there after the drain bound", checkLeaving},
	{"Pause", "a server that refuses a request and states for how long gets at most two more from that instance", checkPause},
	{"DeadlyContained", "a request that has ended three servers reaches servers three times more at most, soon after the third", checkDeadlyContained},
	{"ServedElsewhere", "an instance that is cut off from the servers serves its callers two thirds as often as others", checkServedElsewhere},
	{"InForce", "a configuration version is applied within its bound, and no older version is used afterwards", checkInForce},
	{"Keys", "a request runs only for the team that holds its key, whose name the server gets in place of the key, and a known key is never refused", checkKeys},
	{"NothingCut", "planned operations interrupt no request in flight", checkNothingCut},
	{"StopsInTime", "an instance exits without an error within its stop timeout", checkStopsInTime},
	{"Recovers", "requests succeed again within the recovery bound after the last fault", checkRecovers},
}

// check evaluates all promises and returns their violations.
func (r *record) check() []Violation { return r.checkAll(promises) }

// checkAll evaluates some promises and returns their violations.
func (r *record) checkAll(promises []promise) []Violation {
	var violations []Violation
	for _, p := range promises {
		p.check(r, func(request, format string, arguments ...any) {
			violations = append(violations, Violation{Promise: p.name, Request: request, Detail: fmt.Sprintf(format, arguments...)})
		})
	}
	return violations
}

func isSuccess(o pollenfakeplatform.Outcome) bool { return o.Status >= 200 && o.Status < 300 }

// newestRoute returns the route with the given prefix in the newest version that has one, or the zero Route.
func (r *record) newestRoute(path string) pollenfakeplatform.Route {
	for _, v := range slices.Backward(r.versions) {
		for _, route := range v.configuration.Routes {
			if route.Prefix == path {
				return route
			}
		}
	}
	return pollenfakeplatform.Route{}
}

// instanceNumber returns the number of the instance that a request was sent to.
func (r *record) instanceNumber(o pollenfakeplatform.Outcome) int {
	return r.instanceByAddress[o.Instance.String()]
}

// runByStamp returns the run whose response carries the stamp, a signature unique to each response, or nil.
func runByStamp(runs []*pollenfakeplatform.Run, stamp string) *pollenfakeplatform.Run {
	for _, run := range runs {
		if run.Stamp == stamp {
			return run
		}
	}
	return nil
}

func checkWholeAnswer(r *record, report func(string, string, ...any)) {
	for _, o := range r.outcomes {
		// Only errors and merged responses may lack a signature: the instance generates them itself.
		if o.Status == 0 || o.Stamp == "" && !(isSuccess(o) && len(r.newestRoute(o.Request.Path).Shards) == 0) {
			continue
		}
		run := runByStamp(r.runs[o.Request.ID], o.Stamp)
		switch {
		case run == nil:
			report(o.Request.ID, "status %d with signature %q, which no server issued for this request", o.Status, o.Stamp)
		case run.Status != o.Status:
			report(o.Request.ID, "status %d, but the server sent %d", o.Status, run.Status)
		case !bytes.Equal(run.Body, o.Body):
			report(o.Request.ID, "body %q, but the server sent %q", o.Body, run.Body)
		}
	}
}

func checkOneSnapshot(r *record, report func(string, string, ...any)) {
	for _, o := range r.outcomes {
		if route := r.newestRoute(o.Request.Path); isSuccess(o) && len(route.Shards) > 0 {
			r.checkMergedAnswer(o, route, report)
		}
	}
}

// checkMergedAnswer checks the parts, the coverage and the records of a successful response of a sharded route.
func (r *record) checkMergedAnswer(o pollenfakeplatform.Outcome, route pollenfakeplatform.Route, report func(string, string, ...any)) {
	services := make(map[string]bool)
	var records [][]byte
	for _, stamp := range o.Stamps {
		run := runByStamp(r.runs[o.Request.ID], stamp)
		if run == nil || services[run.Service] {
			report(o.Request.ID, "signature %q belongs to no response to this request, or its service is counted twice", stamp)
			return
		}
		services[run.Service] = true
		for body := run.Body; len(body) >= pollenfakeplatform.RecordBytes; body = body[pollenfakeplatform.RecordBytes:] {
			records = append(records, body[:pollenfakeplatform.RecordBytes])
		}
	}
	if !r.matchesOneVersion(o, services) {
		report(o.Request.ID, "%d parts and %d missing shards match the shards of no configuration version", len(services), o.Missing)
	}
	if total := len(services) + o.Missing; float64(len(services)) < route.MinimumCoverage*float64(total) {
		report(o.Request.ID, "%d of %d shards are below the minimum coverage %v", len(services), total, route.MinimumCoverage)
	}
	sort.Slice(records, func(a, b int) bool { return bytes.Compare(records[a], records[b]) > 0 })
	if want := bytes.Join(records[:min(route.TopK, len(records))], nil); !bytes.Equal(want, o.Body) {
		report(o.Request.ID, "the records are not the top %d of the parts", route.TopK)
	}
}

// matchesOneVersion reports whether a single version that was sent before the response has a route with exactly the
// answering services and the missing ones as its shards.
func (r *record) matchesOneVersion(o pollenfakeplatform.Outcome, services map[string]bool) bool {
	for _, v := range r.versions {
		for _, route := range v.configuration.Routes {
			if route.Prefix != o.Request.Path || v.sentAt.After(o.Ended) || len(route.Shards) != len(services)+o.Missing {
				continue
			}
			matched := 0
			for _, shard := range route.Shards {
				if services[shard] {
					matched++
				}
			}
			if matched == len(services) {
				return true
			}
		}
	}
	return false
}

func checkAtMostOnce(r *record, report func(string, string, ...any)) {
	for _, o := range r.outcomes {
		if runs := r.runs[o.Request.ID]; !r.newestRoute(o.Request.Path).Idempotent && len(runs) > 1 {
			report(o.Request.ID, "ran %d times, on %s and %s", len(runs), runs[0].Server, runs[1].Server)
		}
	}
}

func checkNotRun(r *record, report func(string, string, ...any)) {
	for _, o := range r.outcomes {
		switch o.Status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if runs := r.runs[o.Request.ID]; len(runs) > 0 {
				report(o.Request.ID, "rejected with %d but ran on %s", o.Status, runs[0].Server)
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
			if allowed := r.newestRoute(o.Request.Path).Attempts; len(used) > allowed {
				report(o.Request.ID, "ran on %d servers of service %s, at most %d allowed", len(used), service, allowed)
			}
		}
	}
}

func checkAllowed(r *record, report func(string, string, ...any)) {
	for _, o := range r.outcomes {
		for _, run := range r.runs[o.Request.ID] {
			if !r.allowed(o, run.Service, time.Time{}) {
				report(o.Request.ID, "ran on service %s, which no configuration version allows for %s", run.Service, o.Request.Path)
			}
			if run.Method != o.Request.Method || run.Target != o.Request.Path {
				report(o.Request.ID, "ran as %s %s instead of %s %s", run.Method, run.Target, o.Request.Method, o.Request.Path)
			}
		}
	}
}

// allowed reports whether any version that was still current at a given time or later routes the request to a service.
func (r *record) allowed(o pollenfakeplatform.Outcome, service string, since time.Time) bool {
	for n, v := range r.versions {
		if n+1 < len(r.versions) && !r.versions[n+1].ackedAt.IsZero() && r.versions[n+1].ackedAt.Before(since) {
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
			remaining := o.Sent.Add(o.Request.Timeout).Sub(run.ReceivedAt)
			// A blocked or delayed link delivers requests late, which is no fault of the instance.
			if run.TimeLeft > remaining+r.bounds.DeadlineSlack && r.requestsUndisturbed(r.instanceNumber(o), o.Sent, run.ReceivedAt) && !r.linksDisturbed(o.Sent, run.ReceivedAt) {
				report(o.Request.ID, "server %s received a timeout of %v with %v remaining", run.Server, run.TimeLeft, remaining)
			}
		}
	}
}

func checkDraining(r *record, report func(string, string, ...any)) {
	r.checkNoRunsAfter(r.drains, r.bounds.Drain, func(run *pollenfakeplatform.Run) string { return run.Server }, report)
}

func checkEvacuated(r *record, report func(string, string, ...any)) {
	r.checkNoRunsAfter(r.evacuations, r.bounds.Evacuate, func(run *pollenfakeplatform.Run) string { return run.Zone }, report)
}

// checkNoRunsAfter reports runs on the server or zone of a change that began later than bound after the change was
// acknowledged and before it was reverted.
func (r *record) checkNoRunsAfter(changes []*change, bound time.Duration, name func(*pollenfakeplatform.Run) string, report func(string, string, ...any)) {
	for _, o := range r.outcomes {
		for _, run := range r.runs[o.Request.ID] {
			for _, c := range changes {
				if c.ackedAt.IsZero() || c.name != name(run) || !run.StartedAt.After(c.ackedAt.Add(bound)) || !c.revertedAt.IsZero() && run.StartedAt.After(c.revertedAt) {
					continue
				}
				// A link that stalled may deliver a request long after it was sent.
				if r.linksDisturbed(o.Sent, run.StartedAt) {
					continue
				}
				if r.storeUndisturbed(r.instanceNumber(o), run.StartedAt) && r.storeUndisturbed(r.instanceNumber(o), c.ackedAt.Add(bound)) {
					report(o.Request.ID, "ran on server %s in zone %s %v after the change to %s was acknowledged", run.Server, run.Zone, run.StartedAt.Sub(c.ackedAt), c.name)
				}
			}
		}
	}
}

func checkStatedLimit(r *record, report func(string, string, ...any)) {
	for _, l := range r.limits {
		arrivals := r.pacedArrivals(l)
		for i, first := range arrivals {
			n := 0
			for n < len(arrivals)-i && arrivals[i+n].Sub(first) < r.bounds.LimitPeriod {
				n++
			}
			if allowed := r.bounds.LimitFactor*l.perSecond*r.bounds.LimitPeriod.Seconds() + r.bounds.LimitSlack; float64(n) > allowed {
				report("", "server %s received %d requests in %v with a limit of %v per second", l.server, n, r.bounds.LimitPeriod, l.perSecond)
				break
			}
		}
	}
}

// sending is the way from an instance to a server.
type sending struct {
	instance int
	server   string
}

func checkLeaving(r *record, report func(string, string, ...any)) {
	announced := make(map[sending]time.Time)
	for _, o := range r.outcomes {
		for _, stamp := range append(o.Stamps, o.Stamp) {
			run := runByStamp(r.runs[o.Request.ID], stamp)
			if run == nil || !run.Leaving {
				continue
			}
			l := sending{instance: r.instanceNumber(o), server: run.Server}
			if first, ok := announced[l]; !ok || o.Ended.Before(first) {
				announced[l] = o.Ended
			}
		}
	}
	for _, o := range r.outcomes {
		for _, run := range r.runs[o.Request.ID] {
			l := sending{instance: r.instanceNumber(o), server: run.Server}
			first, ok := announced[l]
			if !ok || !o.Sent.After(first.Add(r.bounds.Drain)) || r.overlapsDisturbance(l.instance, first, run.StartedAt, disturbsPace) {
				continue
			}
			report(o.Request.ID, "ran on server %s, sent %v after instance %d had relayed that the server leaves", run.Server, o.Sent.Sub(first), l.instance)
		}
	}
}

func checkPause(r *record, report func(string, string, ...any)) {
	arrivals := make(map[sending][]time.Time)
	instances := make(map[string]int)
	for _, o := range r.outcomes {
		instances[o.Request.ID] = r.instanceNumber(o)
		for _, run := range r.runs[o.Request.ID] {
			l := sending{instance: r.instanceNumber(o), server: run.Server}
			arrivals[l] = append(arrivals[l], run.ReceivedAt)
		}
	}
	for _, refusal := range r.refusals {
		if instance, ok := instances[refusal.Request]; ok {
			l := sending{instance: instance, server: refusal.Server}
			arrivals[l] = append(arrivals[l], refusal.At)
		}
	}
	ends := make(map[sending]time.Time)
	for _, refusal := range r.refusals {
		instance, ok := instances[refusal.Request]
		l := sending{instance: instance, server: refusal.Server}
		if !ok || refusal.At.Before(ends[l]) {
			continue
		}
		ends[l] = refusal.Until
		from := refusal.At.Add(r.bounds.RefusalNotice)
		if r.overlapsDisturbance(instance, refusal.At.Add(-r.bounds.Reconnect), refusal.Until, disturbsPace) || r.linksDisturbed(refusal.At.Add(-r.bounds.Reconnect), refusal.Until) {
			continue
		}
		late := 0
		for _, at := range arrivals[l] {
			if at.After(from) && at.Before(refusal.Until) {
				late++
			}
		}
		if late > r.bounds.MaxPausedRequests {
			report(refusal.Request, "server %s, which wanted none until %v later, received %d more requests from instance %d", refusal.Server, refusal.Until.Sub(refusal.At), late, instance)
		}
	}
}

// deadlyEndsBeforeBound is the number of servers that must have ended under a request before further ones count.
const deadlyEndsBeforeBound = 3

func checkDeadlyContained(r *record, report func(string, string, ...any)) {
	for caller, ends := range r.deadlyEnds {
		if len(ends) < deadlyEndsBeforeBound {
			continue
		}
		slices.SortFunc(ends, time.Time.Compare)
		from, late := ends[deadlyEndsBeforeBound-1].Add(r.bounds.Reconnect), 0
		for _, o := range r.outcomes {
			runs := r.runs[o.Request.ID]
			if o.Request.Caller != caller || len(runs) == 0 || runs[0].StartedAt.Before(from) || r.restartedLately(r.instanceNumber(o), runs[0].StartedAt) {
				continue
			}
			late++
		}
		if late > r.bounds.MaxDeadlyRequests {
			report("", "%d requests of %s reached servers more than %v after the third server had ended; %d ended", late, caller, r.bounds.Reconnect, len(ends))
		}
	}
}

// restartedLately reports whether an instance was killed, stopped or suspended during the Reconnect bound before at.
func (r *record) restartedLately(instance int, at time.Time) bool {
	for _, d := range r.disturbances {
		if d.instance == instance && d.effect&disturbsStore != 0 && d.effect&disturbsPace != 0 && d.begin.Before(at) && (d.end.IsZero() || d.end.After(at.Add(-r.bounds.Reconnect))) {
			return true
		}
	}
	return false
}

func checkServedElsewhere(r *record, report func(string, string, ...any)) {
	for _, k := range r.cuts {
		from := k.from.Add(r.bounds.Reconnect)
		// The first counts are those of the instance, the second those of the others that reach the servers.
		var tried, served [2]int
		for _, o := range r.outcomes {
			if o.Sent.Before(from) || o.Sent.After(k.to) || strings.HasPrefix(o.Request.Caller, pollenfakeplatform.DeadlyPrefix) || !r.requestsUndisturbed(r.instanceNumber(o), from, k.to) {
				continue
			}
			group := 0
			if number := r.instanceNumber(o); number != k.instance {
				if r.overlapsDisturbance(number, k.from, k.to, disturbsLinks) {
					continue
				}
				group = 1
			}
			tried[group]++
			if isSuccess(o) {
				served[group]++
			}
		}
		failed, all := tried[0]-served[0], tried[0]+tried[1]
		if float64(failed) <= float64(r.bounds.CutSlack)+r.bounds.CutSlackShare*float64(all) || tried[1] == 0 {
			continue
		}
		if share, others := float64(served[0])/float64(tried[0]), float64(served[1])/float64(tried[1]); share < r.bounds.MinCutShare*others {
			report("", "instance %d, cut off from the servers, served %d of %d requests, others %d of %d", k.instance, served[0], tried[0], served[1], tried[1])
		}
	}
}

// pacedArrivals returns when requests reached a limited server since its limit must be kept, in order. Requests of instances
// that have just restarted or been suspended, or that a link may have held up, are left out.
func (r *record) pacedArrivals(l statedLimit) []time.Time {
	var arrivals []time.Time
	for _, o := range r.outcomes {
		for _, run := range r.runs[o.Request.ID] {
			if run.Server != l.server || run.ReceivedAt.Before(l.from.Add(r.bounds.LimitNotice)) || run.ReceivedAt.After(l.to) {
				continue
			}
			if !r.overlapsDisturbance(r.instanceNumber(o), run.ReceivedAt.Add(-r.bounds.Reconnect), run.ReceivedAt, disturbsPace) {
				arrivals = append(arrivals, run.ReceivedAt)
			}
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	return arrivals
}

func checkInForce(r *record, report func(string, string, ...any)) {
	for _, o := range r.outcomes {
		if !r.storeUndisturbed(r.instanceNumber(o), o.Sent) {
			continue
		}
		since := o.Sent.Add(-r.bounds.Apply)
		for _, run := range r.runs[o.Request.ID] {
			if !r.allowed(o, run.Service, since) && r.allowed(o, run.Service, time.Time{}) {
				report(o.Request.ID, "ran on service %s, which is allowed only by versions replaced more than %v earlier", run.Service, r.bounds.Apply)
			}
		}
		if o.Status == http.StatusNotFound {
			report(o.Request.ID, "status 404 for %s, although all versions have the route", o.Request.Path)
		}
	}
}

func checkKeys(r *record, report func(string, string, ...any)) {
	for _, o := range r.outcomes {
		since := time.Time{}
		if r.storeUndisturbed(r.instanceNumber(o), o.Sent) {
			since = o.Sent.Add(-r.bounds.Apply)
		}
		for _, run := range r.runs[o.Request.ID] {
			if run.Carries(keyPrefix) {
				report(o.Request.ID, "server %s received a key", run.Server)
			}
			if !slices.ContainsFunc(r.versionsSince(since, run.StartedAt), func(v *version) bool { return v.allowsTeam(o.Request, run.Team()) }) {
				report(o.Request.ID, "ran with the key %q for the team %q, which no version in force states", o.Request.Key, run.Team())
			}
		}
		known := !slices.ContainsFunc(r.versionsSince(since, o.Ended), func(v *version) bool { return v.configuration.TeamOf(o.Request.Key) == "" })
		if o.Status == http.StatusUnauthorized && (known || r.newestRoute(o.Request.Path).Public) {
			report(o.Request.ID, "status 401, although the key %q is known or %s needs none", o.Request.Key, o.Request.Path)
		}
	}
}

// versionsSince returns the versions that were still current at a given time or later and were sent before another.
func (r *record) versionsSince(since, until time.Time) []*version {
	var current []*version
	for n, v := range r.versions {
		replaced := n+1 < len(r.versions) && !r.versions[n+1].ackedAt.IsZero() && r.versions[n+1].ackedAt.Before(since)
		if !replaced && !v.sentAt.After(until) {
			current = append(current, v)
		}
	}
	return current
}

// allowsTeam reports whether a request may run as that of a team, or of no team if the name is empty.
func (v *version) allowsTeam(request pollenfakeplatform.Request, team string) bool {
	public := slices.ContainsFunc(v.configuration.Routes, func(route pollenfakeplatform.Route) bool { return route.Prefix == request.Path && route.Public })
	if public || len(v.configuration.Teams) == 0 {
		return team == ""
	}
	return team != "" && team == v.configuration.TeamOf(request.Key)
}

func checkNothingCut(r *record, report func(string, string, ...any)) {
	for _, o := range r.outcomes {
		if o.Status != 0 || o.ConnectFailed || o.Ended.Sub(o.Sent) >= o.Request.Timeout || !r.requestsUndisturbed(r.instanceNumber(o), o.Sent, o.Ended) {
			continue
		}
		if len(r.runs[o.Request.ID]) > 0 || o.Ended.Sub(o.Sent) > r.bounds.CloseRace {
			report(o.Request.ID, "interrupted after %v: %v", o.Ended.Sub(o.Sent), o.Err)
		}
	}
}

func checkStopsInTime(r *record, report func(string, string, ...any)) {
	for _, stop := range r.stopFailures {
		report("", "%s", stop)
	}
}

// minRecoveryRequests is the number of requests below which the share of served requests is not significant.
const minRecoveryRequests = 20

func checkRecovers(r *record, report func(string, string, ...any)) {
	served, sent := 0, 0
	for _, o := range r.outcomes {
		if o.Sent.After(r.faultsEndedAt.Add(r.bounds.Recovery)) {
			sent++
			if isSuccess(o) {
				served++
			}
		}
	}
	if sent < minRecoveryRequests || float64(served) < r.bounds.MinRecoveredShare*float64(sent) {
		report("", "%d of %d requests served more than %v after the last fault", served, sent, r.bounds.Recovery)
	}
}
