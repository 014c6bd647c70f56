package pollensoak

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollenline.example/platform/pollenfakeplatform"
)

var (
	epoch        = time.Unix(1_000_000, 0)
	instanceAddr = netip.MustParseAddrPort("127.0.0.1:7100")
)

func atSecond(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// validRecord returns a record without violations, with one configuration version, a sharded request "q", an idempotent
// request "p", a non-idempotent request "o", and minRecoveryRequests requests "late". Only the "late" requests are sent
// when the time allowed for recovery after the last fault has passed.
func validRecord() *record {
	route := pollenfakeplatform.Route{Idempotent: true, Attempts: 2}
	query, plain, once := route, route, route
	query.Prefix, query.Shards, query.TopK, query.MinimumCoverage = pathQuery, []string{"s0", "s1", "s2", "s3"}, 2, 0.75
	plain.Prefix, plain.Service = pathPlain, "x"
	once.Prefix, once.Service, once.Idempotent = pathOnce, "y", false
	r := &record{
		bounds: platformBounds, instanceByAddress: map[string]int{instanceAddr.String(): 0}, runs: make(map[string][]*pollenfakeplatform.Run), faultsEndedAt: atSecond(100),
		versions: []*version{{
			configuration: pollenfakeplatform.Configuration{Version: 1, Routes: []pollenfakeplatform.Route{query, plain, once}},
			sentAt:        atSecond(0), ackedAt: atSecond(0),
		}},
	}
	addOutcome(r, "q", pathQuery, 200, 50)
	for n, service := range []string{"s0", "s1", "s2"} {
		addRun(r, "q", "srv-"+service, service, strings.Repeat(string(rune('a'+n)), 16))
	}
	o := &r.outcomes[0]
	o.Stamps, o.Missing, o.Body = []string{"srv-s0/q", "srv-s1/q", "srv-s2/q"}, 1, []byte(strings.Repeat("c", 16)+strings.Repeat("b", 16))
	for _, id := range []string{"p", "o"} {
		path, service := pathPlain, "x"
		if id == "o" {
			path, service = pathOnce, "y"
		}
		addOutcome(r, id, path, 200, 50)
		addRun(r, id, "srv-"+service, service, "whole")
		last := &r.outcomes[len(r.outcomes)-1]
		last.Stamp, last.Body = "srv-"+service+"/"+id, []byte("whole")
	}
	for range minRecoveryRequests {
		addOutcome(r, "late", pathPlain, 200, 120)
		r.outcomes[len(r.outcomes)-1].Stamp = "srv-x/late"
	}
	addRun(r, "late", "srv-x", "x", "")
	r.runs["late"][0].ReceivedAt, r.runs["late"][0].StartedAt = atSecond(120), atSecond(120)
	return r
}

func addOutcome(r *record, id, path string, status int, second float64) {
	r.outcomes = append(r.outcomes, pollenfakeplatform.Outcome{
		Request:  pollenfakeplatform.Request{ID: id, Method: "GET", Path: path, Timeout: 2 * time.Second},
		Instance: instanceAddr, Sent: atSecond(second), Ended: atSecond(second + 0.1), Status: status,
	})
}

func addRun(r *record, id, server, service, body string) {
	r.runs[id] = append(r.runs[id], &pollenfakeplatform.Run{
		Server: server, Service: service, Zone: "zone-a", Request: id, Method: "GET", Target: r.outcomes[len(r.outcomes)-1].Request.Path,
		ReceivedAt: atSecond(50.01), StartedAt: atSecond(50.01), TimeLeft: time.Second, Stamp: server + "/" + id, Status: 200, Body: []byte(body),
	})
}

// limitServer adds requests that reach a server at about second 50, with a limit of 2 requests per second from a second on.
func limitServer(r *record, requests int, from float64) {
	r.limits = []statedLimit{{server: "srv-limited", perSecond: 2, from: atSecond(from), to: atSecond(60)}}
	for n := range requests {
		id := fmt.Sprintf("limited-%d", n)
		addOutcome(r, id, pathPlain, 500, 50)
		addRun(r, id, "srv-limited", "x", "")
		r.runs[id][0].Status = 500
		r.outcomes[len(r.outcomes)-1].Stamp = "srv-limited/" + id
	}
}

// useKeys makes the requests of "o" carry the key of team "a", and its run that of a team, on routes of which all others are public.
func useKeys(r *record, runTeam, holder string) {
	configuration := &r.versions[0].configuration
	configuration.Teams = []pollenfakeplatform.Team{{Name: "a", Keys: []string{keyPrefix + holder}}, {Name: "b", Keys: []string{keyPrefix + "b"}}}
	configuration.Routes[0].Public, configuration.Routes[1].Public = true, true
	r.outcomes[2].Request.Key = keyPrefix + "a"
	r.runs["o"][0].Header = http.Header{"Tenant": {runTeam}}
}

// removeKeys replaces the version by one in which no team has a key, five seconds before the requests.
func removeKeys(r *record) {
	useKeys(r, "a", "a")
	newer := *r.versions[0]
	newer.sentAt, newer.ackedAt = atSecond(45), atSecond(45)
	newer.configuration.Teams = []pollenfakeplatform.Team{{Name: "a"}}
	r.versions = append(r.versions, &newer)
}

// announceLeaving adds an answer that says at second 50 that its server leaves, and a request to the server that is sent at a second.
func announceLeaving(r *record, second float64) {
	for _, sent := range []float64{50, second} {
		id := fmt.Sprintf("leaving-%v", sent)
		addOutcome(r, id, pathPlain, 500, sent)
		addRun(r, id, "srv-leaving", "x", "")
		run := r.runs[id][0]
		run.Status, run.Leaving, run.ReceivedAt, run.StartedAt = 500, true, atSecond(sent+0.01), atSecond(sent+0.01)
		r.outcomes[len(r.outcomes)-1].Stamp = run.Stamp
	}
}

// refuse adds requests that a server refuses, one after the other from second 50 on, as it wants none until a second.
func refuse(r *record, requests int, interval, until float64) {
	for n := range requests {
		id, second := fmt.Sprintf("refused-%d", n), 50+interval*float64(n)
		addOutcome(r, id, pathPlain, 503, second)
		r.refusals = append(r.refusals, pollenfakeplatform.Refusal{Server: "srv-refusing", Request: id, At: atSecond(second), Until: atSecond(until)})
	}
}

// Guards against checks that miss a violation, and against checks that report one where only another promise is broken
// or where the request is exempt because of a fault or a tolerance.
func TestChecksReportOnlyBrokenPromise(t *testing.T) {
	tests := []struct {
		name   string
		modify func(r *record)
		want   string
	}{
		{"nothing", func(*record) {}, ""},
		{"another request's answer", func(r *record) { r.outcomes[1].Stamp = "srv-y/o" }, "WholeAnswer"},
		{"body cut", func(r *record) { r.outcomes[1].Body = []byte("who") }, "WholeAnswer"},
		{"no signature", func(r *record) { r.outcomes[1].Stamp = "" }, "WholeAnswer"},
		{"status changed", func(r *record) { r.runs["p"][0].Status = 500 }, "WholeAnswer"},
		{"part counted twice", func(r *record) { r.outcomes[0].Stamps[1] = "srv-s0/q" }, "OneSnapshot"},
		{"missing shard not stated", func(r *record) { r.outcomes[0].Missing = 0 }, "OneSnapshot"},
		{"parts of two versions", func(r *record) {
			r.versions[0].configuration.Routes[0].Shards = []string{"s0", "s1", "t2", "t3"}
			next := *r.versions[0]
			next.configuration.Routes = append([]pollenfakeplatform.Route(nil), next.configuration.Routes...)
			next.configuration.Routes[0].Shards, next.ackedAt = []string{"t0", "t1", "s2", "s3"}, time.Time{}
			r.versions = append(r.versions, &next)
		}, "OneSnapshot"},
		{"records not the greatest", func(r *record) { r.outcomes[0].Body = []byte(strings.Repeat("b", 32)) }, "OneSnapshot"},
		{"too few shards", func(r *record) { r.versions[0].configuration.Routes[0].MinimumCoverage = 0.8 }, "OneSnapshot"},
		{"ran twice", func(r *record) { r.runs["o"] = append(r.runs["o"], r.runs["o"][0]) }, "AtMostOnce"},
		{"refused and ran", func(r *record) { r.outcomes[2].Status, r.outcomes[2].Stamp = 503, "" }, "NotRun"},
		{"too many servers", func(r *record) { r.versions[0].configuration.Routes[1].Attempts = 0 }, "Attempts"},
		{"service of no version", func(r *record) { r.versions[0].configuration.Routes[1].Service = "z" }, "Allowed"},
		{"path changed", func(r *record) { r.runs["p"][0].Target = "/other/" }, "Allowed"},
		{"too much time", func(r *record) { r.runs["p"][0].TimeLeft = 5 * time.Second }, "TimeLeft"},
		{"server had left", func(r *record) { r.drains = []*change{{name: "srv-x", ackedAt: atSecond(46)}} }, "Draining"},
		{"server is leaving", func(r *record) {
			r.drains = []*change{{name: "srv-x", ackedAt: atSecond(48), revertedAt: atSecond(60)}}
		}, ""},
		{"zone was evacuated", func(r *record) {
			r.evacuations = []*change{{name: "zone-a", ackedAt: atSecond(44), revertedAt: atSecond(60)}}
		}, "Evacuated"},
		{"zone was evacuated, a stalled link held the requests up", func(r *record) {
			r.evacuations = []*change{{name: "zone-a", ackedAt: atSecond(44), revertedAt: atSecond(60)}}
			r.disturbances = []*disturbance{{instance: 1, effect: disturbsLinks, begin: atSecond(40), end: atSecond(50.01)}}
		}, ""},
		{"zone was evacuated, a link had stalled before", func(r *record) {
			r.evacuations = []*change{{name: "zone-a", ackedAt: atSecond(44), revertedAt: atSecond(60)}}
			r.disturbances = []*disturbance{{instance: 1, effect: disturbsLinks, begin: atSecond(40), end: atSecond(49)}}
		}, "Evacuated"},
		{"zone had come back", func(r *record) {
			r.evacuations = []*change{{name: "zone-a", ackedAt: atSecond(40), revertedAt: atSecond(49)}}
		}, ""},
		{"older version", func(r *record) {
			newer := *r.versions[0]
			newer.ackedAt = atSecond(45)
			newer.configuration.Routes = append([]pollenfakeplatform.Route(nil), newer.configuration.Routes...)
			newer.configuration.Routes[1].Service = "z"
			r.versions = append(r.versions, &newer)
			r.outcomes = r.outcomes[:2]
			r.faultsEndedAt = atSecond(30)
			for range minRecoveryRequests {
				addOutcome(r, "q2", pathQuery, 200, 60)
				r.outcomes[len(r.outcomes)-1].Stamps, r.outcomes[len(r.outcomes)-1].Missing = nil, 4
			}
			r.versions[0].configuration.Routes[0].MinimumCoverage, newer.configuration.Routes[0].MinimumCoverage = 0, 0
		}, "InForce"},
		{"older version, out of touch", func(r *record) {
			newer := *r.versions[0]
			newer.ackedAt = atSecond(45)
			newer.configuration.Routes = []pollenfakeplatform.Route{newer.configuration.Routes[0], newer.configuration.Routes[2]}
			r.versions = append(r.versions, &newer)
			r.disturbances = []*disturbance{{instance: 0, effect: disturbsStore, begin: atSecond(48), end: atSecond(49)}, {instance: 0, effect: disturbsStore, begin: atSecond(118), end: atSecond(119)}}
		}, ""},
		{"more than the limit", func(r *record) { limitServer(r, 20, 30) }, "StatedLimit"},
		{"as much as the limit", func(r *record) { limitServer(r, 17, 30) }, ""},
		{"limit just stated", func(r *record) { limitServer(r, 20, 48) }, ""},
		{"more than the limit after a restart", func(r *record) {
			limitServer(r, 20, 30)
			r.disturbances = []*disturbance{{instance: 0, effect: disturbsPace, begin: atSecond(45), end: atSecond(47)}}
		}, ""},
		{"key of the team", func(r *record) { useKeys(r, "a", "a") }, ""},
		{"key of another team", func(r *record) { useKeys(r, "b", "a") }, "Keys"},
		{"key not replaced", func(r *record) {
			useKeys(r, "a", "a")
			r.runs["o"][0].Header["X"] = []string{"Bearer " + keyPrefix + "a"}
		}, "Keys"},
		{"key of no team", func(r *record) {
			useKeys(r, "a", "a")
			r.versions[0].configuration.Teams[0].Keys = nil
		}, "Keys"},
		{"no key", func(r *record) { useKeys(r, "a", ""); r.outcomes[2].Request.Key = "" }, "Keys"},
		{"team on a public route", func(r *record) {
			useKeys(r, "a", "a")
			r.versions[0].configuration.Routes[2].Public = true
		}, "Keys"},
		{"known key refused", func(r *record) {
			useKeys(r, "a", "a")
			addOutcome(r, "refused", pathOnce, 401, 50)
			r.outcomes[len(r.outcomes)-1].Request.Key = keyPrefix + "a"
		}, "Keys"},
		{"unknown key refused", func(r *record) {
			useKeys(r, "a", "a")
			addOutcome(r, "refused", pathOnce, 401, 50)
			r.outcomes[len(r.outcomes)-1].Request.Key = keyPrefix + "x"
		}, ""},
		{"removed key", func(r *record) { removeKeys(r) }, "Keys"},
		{"removed key, out of touch", func(r *record) {
			removeKeys(r)
			r.disturbances = []*disturbance{{instance: 0, effect: disturbsStore, begin: atSecond(48), end: atSecond(49)}}
		}, ""},
		{"request to a leaving server", func(r *record) { announceLeaving(r, 53.2) }, "Leaving"},
		{"request to a server that leaves soon", func(r *record) { announceLeaving(r, 53) }, ""},
		{"request to a leaving server after a restart", func(r *record) {
			announceLeaving(r, 53.2)
			r.disturbances = []*disturbance{{instance: 0, effect: disturbsPace, begin: atSecond(51), end: atSecond(52)}}
		}, ""},
		{"requests during a pause", func(r *record) { refuse(r, 4, 0.6, 54) }, "Pause"},
		{"two requests during a pause", func(r *record) { refuse(r, 3, 0.6, 54) }, ""},
		{"requests right after a refusal", func(r *record) { refuse(r, 10, 0.05, 54) }, ""},
		{"requests after a pause", func(r *record) { refuse(r, 4, 0.6, 50.1) }, ""},
		{"cut", func(r *record) { r.outcomes[1].Status = 0 }, "NothingCut"},
		{"cut by a fault", func(r *record) {
			r.outcomes[1].Status = 0
			r.disturbances = []*disturbance{{instance: allInstances, effect: disturbsRequests, begin: atSecond(49)}}
		}, ""},
		{"crossed the close", func(r *record) { r.outcomes[1].Status, r.runs["p"] = 0, nil }, ""},
		{"slow stop", func(r *record) { r.stopFailures = []string{"entry-0"} }, "StopsInTime"},
		{"not served again", func(r *record) {
			for n := range r.outcomes[3:] {
				r.outcomes[3+n].Status, r.outcomes[3+n].Stamp = 502, ""
			}
		}, "Recovers"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := validRecord()
			test.modify(r)
			got := make(map[string]bool)
			for _, v := range r.check() {
				got[v.Promise] = true
			}
			want := map[string]bool{}
			if test.want != "" {
				want[test.want] = true
			}
			qt.Assert(t, got, qt.DeepEquals, want, qt.Commentf("%v", r.check()))
		})
	}
}
