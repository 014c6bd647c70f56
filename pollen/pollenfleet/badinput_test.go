package pollenfleet_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"pollenline.example/pollen/pollenfleet"
	"pollenline.example/pollen/pollenschema"
	"pollenline.example/pollen/pollenschema/pollenschemaconnect"
)

// checkBadInput sends invalid requests to an instance. It guards against invalid input that is not refused with a
// specific error, is not counted, or affects a valid request.
func checkBadInput(ctx context.Context, c *qt.C, fleet *pollenfleet.Fleet) {
	address := fleet.Settings[0].CallerAddress.String()
	checkBadBodies(c, address)
	checkHalfClosed(c, address)
	checkRefusals(ctx, c, address)
	counters, err := fleet.Counters(ctx)
	c.Assert(err, qt.IsNil)
	c.Check(counters.CallErrors >= 3, qt.IsTrue, qt.Commentf("%v errors counted", counters.CallErrors))
}

func checkBadBodies(c *qt.C, address string) {
	tests := []struct {
		name, body, code string
	}{
		{"malformed JSON", `{"Service": `, "invalid_argument"},
		{"wrong type", `{"Service": 7}`, "invalid_argument"},
		{"no id", `{"Service": "pattern-desk-01"}`, "invalid_argument"},
		{"oversized", `{"Service": "` + strings.Repeat("x", 5<<20) + `"}`, "resource_exhausted"},
	}
	for _, test := range tests {
		response, err := http.Post("http://"+address+pollenschemaconnect.EntryQueryProcedure, "application/json", bytes.NewReader([]byte(test.body)))
		c.Assert(err, qt.IsNil, qt.Commentf("%s", test.name))
		body, err := io.ReadAll(response.Body)
		c.Assert(err, qt.IsNil)
		c.Check(response.Body.Close(), qt.IsNil)
		c.Check(string(body), qt.Contains, test.code, qt.Commentf("%s", test.name))
	}
}

// checkHalfClosed sends an incomplete request and closes the sending side of the connection.
func checkHalfClosed(c *qt.C, address string) {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: 100\r\n\r\n{", pollenschemaconnect.EntryQueryProcedure)
	c.Assert(err, qt.IsNil)
	c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
	answer, err := io.ReadAll(conn)
	c.Check(err, qt.IsNil)
	c.Check(string(answer), qt.Contains, `"code":"canceled"`)
}

func checkRefusals(ctx context.Context, c *qt.C, address string) {
	client := pollenschemaconnect.NewEntryClient(http.DefaultClient, "http://"+address)
	located, err := client.Locate(ctx, &pollenschema.LocateRequest{})
	c.Assert(err, qt.IsNil)
	incarnation := ""
	for _, i := range located.Instances {
		if i.Address == address {
			incarnation = i.Incarnation
		}
	}
	validRequest := func() *pollenschema.QueryRequest {
		return &pollenschema.QueryRequest{
			Id:      &pollenschema.RequestId{Incarnation: incarnation, Expiry: timestamppb.New(time.Now().Add(30 * time.Second))},
			Service: "pattern-desk-01", Class: pollenschema.Class_CLASS_NORMAL, Timeout: durationpb.New(10 * time.Second), Idempotent: true,
		}
	}
	tests := []struct {
		name    string
		change  func(*pollenschema.QueryRequest)
		outcome pollenschema.Outcome
		reason  pollenschema.Reason
	}{
		{"unknown service", func(r *pollenschema.QueryRequest) { r.Service = "nowhere" }, pollenschema.Outcome_OUTCOME_NOT_RUN, pollenschema.Reason_REASON_UNKNOWN_SERVICE},
		{"deadline in the past", func(r *pollenschema.QueryRequest) { r.Timeout = durationpb.New(-time.Second) }, pollenschema.Outcome_OUTCOME_NOT_RUN, pollenschema.Reason_REASON_DEADLINE},
		{"no class", func(r *pollenschema.QueryRequest) { r.Class = 0 }, pollenschema.Outcome_OUTCOME_NOT_RUN, pollenschema.Reason_REASON_INVALID},
		{"action without key", func(r *pollenschema.QueryRequest) { r.Idempotent = false }, pollenschema.Outcome_OUTCOME_NOT_RUN, pollenschema.Reason_REASON_INVALID},
		{"large payload", func(r *pollenschema.QueryRequest) { r.Payload = make([]byte, 2<<20) }, pollenschema.Outcome_OUTCOME_NOT_RUN, pollenschema.Reason_REASON_TOO_LARGE},
		{"expired id", func(r *pollenschema.QueryRequest) { r.Id.Expiry = timestamppb.New(time.Now().Add(-time.Second)) }, pollenschema.Outcome_OUTCOME_UNKNOWN, pollenschema.Reason_REASON_EXPIRED},
		{"id far ahead", func(r *pollenschema.QueryRequest) { r.Id.Expiry = timestamppb.New(time.Now().Add(time.Hour)) }, pollenschema.Outcome_OUTCOME_NOT_RUN, pollenschema.Reason_REASON_INVALID},
		{"incarnation gone", func(r *pollenschema.QueryRequest) { r.Id.Incarnation = "gone" }, pollenschema.Outcome_OUTCOME_UNKNOWN, pollenschema.Reason_REASON_INCARNATION_GONE},
		{"good", func(*pollenschema.QueryRequest) {}, pollenschema.Outcome_OUTCOME_DONE, 0},
	}
	for n, test := range tests {
		request := validRequest()
		request.Id.Nonce = fmt.Sprintf("bad-input-%d", n)
		test.change(request)
		response, err := client.Query(ctx, request)
		c.Assert(err, qt.IsNil, qt.Commentf("%s", test.name))
		c.Check(response.Outcome, qt.Equals, test.outcome, qt.Commentf("%s", test.name))
		c.Check(response.Reason, qt.Equals, test.reason, qt.Commentf("%s", test.name))
		c.Check(response.Id.GetNonce(), qt.Equals, request.Id.Nonce)
	}
}
