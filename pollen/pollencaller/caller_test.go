package pollencaller_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/types/known/durationpb"

	"pollenline.example/pollen/pollencaller"
	"pollenline.example/pollen/pollenmessage"
	"pollenline.example/pollen/pollenschema"
	"pollenline.example/pollen/pollenschema/pollenschemaconnect"
)

// fakeEntry is an instance that answers queries with a function and Locate requests with a fixed response.
type fakeEntry struct {
	pollenschemaconnect.UnimplementedEntryHandler
	located    *pollenschema.LocateResponse
	answer     func(*pollenschema.QueryRequest) *pollenschema.QueryResponse
	queryCount int
}

func (f *fakeEntry) Locate(context.Context, *pollenschema.LocateRequest) (*pollenschema.LocateResponse, error) {
	return f.located, nil
}

func (f *fakeEntry) Query(_ context.Context, request *pollenschema.QueryRequest) (*pollenschema.QueryResponse, error) {
	f.queryCount++
	return f.answer(request), nil
}

// A caller that accepts damaged answers returns wrong rows, and one that retries an action that may have run runs it
// twice. An action that an instance refused to run is safe to retry.
func TestDoVerifiesAnswersAndRetriesRefusals(t *testing.T) {
	wholeAnswer := func(request *pollenschema.QueryRequest) *pollenschema.QueryResponse {
		response := &pollenschema.QueryResponse{
			Id: request.Id, Outcome: pollenschema.Outcome_OUTCOME_DONE, Coverage: &pollenschema.Coverage{Covered: 1, Total: 1},
			Shards: []*pollenschema.ShardRows{{Shard: "a", Rows: [][]byte{[]byte("row")}}},
		}
		response.Length, response.Checksum = pollenmessage.RowsChecksum(response.Shards)
		return response
	}
	modifiedAnswer := func(change func(*pollenschema.QueryResponse)) func(*pollenschema.QueryRequest) *pollenschema.QueryResponse {
		return func(request *pollenschema.QueryRequest) *pollenschema.QueryResponse {
			response := wholeAnswer(request)
			change(response)
			return response
		}
	}
	refusal := func(reason pollenschema.Reason) func(*pollenschema.QueryRequest) *pollenschema.QueryResponse {
		return func(request *pollenschema.QueryRequest) *pollenschema.QueryResponse {
			return &pollenschema.QueryResponse{Id: request.Id, Outcome: pollenschema.Outcome_OUTCOME_NOT_RUN, Reason: reason}
		}
	}
	tests := []struct {
		name     string
		action   bool
		answer   func(*pollenschema.QueryRequest) *pollenschema.QueryResponse
		outcome  pollenschema.Outcome
		reason   pollenschema.Reason
		failure  string
		sentOnce bool
	}{
		{name: "whole answer", answer: wholeAnswer, outcome: pollenschema.Outcome_OUTCOME_DONE, sentOnce: true},
		{name: "crossed answer", answer: modifiedAnswer(func(r *pollenschema.QueryResponse) { r.Id = &pollenschema.RequestId{Nonce: "other"} }), failure: "belongs to another request"},
		{name: "checksum differs", answer: modifiedAnswer(func(r *pollenschema.QueryResponse) { r.Checksum++ }), failure: "length or checksum differ"},
		{name: "truncated answer", answer: modifiedAnswer(func(r *pollenschema.QueryResponse) { r.Shards = nil }), failure: "length or checksum differ"},
		{name: "coverage lies", answer: modifiedAnswer(func(r *pollenschema.QueryResponse) { r.Coverage.Covered = 2 }), failure: "coverage does not match"},
		{name: "crossed answer to an action", action: true, answer: modifiedAnswer(func(r *pollenschema.QueryResponse) { r.Id = &pollenschema.RequestId{Nonce: "other"} }),
			outcome: pollenschema.Outcome_OUTCOME_UNKNOWN, reason: pollenschema.Reason_REASON_GARBLED, sentOnce: true},
		{name: "refused for good", answer: refusal(pollenschema.Reason_REASON_INVALID), outcome: pollenschema.Outcome_OUTCOME_NOT_RUN, reason: pollenschema.Reason_REASON_INVALID, sentOnce: true},
		{name: "refused by a leaving instance", action: true, answer: refusal(pollenschema.Reason_REASON_LEAVING), outcome: pollenschema.Outcome_OUTCOME_NOT_RUN, reason: pollenschema.Reason_REASON_LEAVING},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			fake := &fakeEntry{answer: test.answer}
			_, handler := pollenschemaconnect.NewEntryHandler(fake)
			server := httptest.NewServer(handler)
			defer server.Close()
			address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
			fake.located = &pollenschema.LocateResponse{
				Lifetime:  durationpb.New(time.Minute),
				Instances: []*pollenschema.Instance{{Name: "fake", Address: address.String(), Weight: 1, Incarnation: "one"}},
			}
			caller := pollencaller.New(pollencaller.Config{Name: "test", Addresses: []netip.AddrPort{address}})
			response, err := caller.Do(context.Background(), pollencaller.Request{
				Service: "s", Class: pollenschema.Class_CLASS_NORMAL, Timeout: 10 * time.Second, Action: test.action, Key: "k",
			})
			if test.failure != "" {
				c.Assert(err, qt.ErrorMatches, ".*"+test.failure+".*")
				return
			}
			c.Assert(err, qt.IsNil)
			c.Check(response.Outcome, qt.Equals, test.outcome)
			c.Check(response.Reason, qt.Equals, test.reason)
			c.Check(fake.queryCount == 1, qt.Equals, test.sentOnce)
		})
	}
}
