package reserve

import (
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"log/slog"
	"math"
	"net/rpc"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/prepaid"
)

// countingReserver grants every reservation and records the amounts.
type countingReserver struct{ reserved, used prepaid.Tokens }

func (r *countingReserver) Reserve(_ context.Context, req prepaid.ReservationRequest) (prepaid.Reservation, error) {
	r.reserved += req.Bound
	return r, nil
}

func (r *countingReserver) Settle(used prepaid.Tokens) { r.used += used }

func (r *countingReserver) SyncFailing() bool { return false }

// panickingReserver panics in every call.
type panickingReserver struct{ countingReserver }

func (*panickingReserver) Reserve(context.Context, prepaid.ReservationRequest) (prepaid.Reservation, error) {
	panic("unexpected")
}

func newTestServer(t testing.TB, r Reserver) *Server {
	return NewServer(t.Context(), r, metrics.NewRegistry(), slog.New(slog.NewTextHandler(io.Discard, nil)))
}

func validCall() ReserveArgs {
	return ReserveArgs{ID: ID{Gate: "g/1", Number: 1}, Claim: prepaid.ReservationRequest{Workspace: "ws", Paid: 100, Bound: 10}}
}

// A call with a negative or an absurd amount, or without names, must have no effect: a
// negative amount would raise the balance.
func TestMalformedCallsRefused(t *testing.T) {
	c := qt.New(t)
	for name, change := range map[string]func(*ReserveArgs){
		"negative bound":      func(a *ReserveArgs) { a.Claim.Bound = -1 },
		"huge bound":          func(a *ReserveArgs) { a.Claim.Bound = math.MaxInt64 },
		"negative paid":       func(a *ReserveArgs) { a.Claim.Paid = -1 },
		"huge paid":           func(a *ReserveArgs) { a.Claim.Paid = math.MaxInt64 },
		"no workspace":        func(a *ReserveArgs) { a.Claim.Workspace = "" },
		"long workspace":      func(a *ReserveArgs) { a.Claim.Workspace = strings.Repeat("w", 1000) },
		"no gate":             func(a *ReserveArgs) { a.ID.Gate = "" },
		"negative settlement": func(a *ReserveArgs) { a.Settled = []Settlement{{Number: 1, Used: -5}} },
	} {
		reserver := &countingReserver{}
		server := newTestServer(t, reserver)
		args := validCall()
		change(&args)
		c.Check(server.Reserve(&args, &ReserveReply{}), qt.IsNotNil, qt.Commentf("%s", name))
		c.Check(reserver.reserved, qt.Equals, prepaid.Tokens(0), qt.Commentf("%s", name))
		c.Check(server.Unsettled(), qt.Equals, 0, qt.Commentf("%s", name))
	}
	reserver := &countingReserver{}
	server := newTestServer(t, reserver)
	args := validCall()
	c.Assert(server.Reserve(&args, &ReserveReply{}), qt.IsNil)
	c.Assert(server.Settle(&SettleArgs{Gate: "g/1", Settled: []Settlement{{Number: 1, Used: -5}}}, nil), qt.IsNotNil)
	c.Assert(server.Unsettled(), qt.Equals, 1)
	c.Assert(server.Settle(&SettleArgs{Gate: "g/1", Settled: []Settlement{{Number: 1, Used: 5}}}, nil), qt.IsNil)
	c.Assert(reserver.used, qt.Equals, prepaid.Tokens(5))
}

// A panic in one call must not end the process.
func TestPanickingReservation(t *testing.T) {
	args := validCall()
	qt.Assert(t, newTestServer(t, &panickingReserver{}).Reserve(&args, &ReserveReply{}), qt.IsNotNil)
}

// Any message of a gate must leave the quota server running, and whatever it reserves and
// settles must not be negative.
func FuzzReserveCalls(f *testing.F) {
	encode := func(args any) []byte {
		var b bytes.Buffer
		qt.Assert(f, gob.NewEncoder(&b).Encode(args), qt.IsNil)
		return b.Bytes()
	}
	valid := validCall()
	valid.Settled = []Settlement{{Number: 1, Used: 3}}
	f.Add(encode(&valid))
	f.Add(encode(&SettleArgs{Gate: "g/1", Settled: []Settlement{{Number: 1, Used: -3}}}))
	f.Add(encode(&rpc.Request{ServiceMethod: "Budget.Reserve"}))
	f.Fuzz(func(t *testing.T, raw []byte) {
		reserver := &countingReserver{}
		server := newTestServer(t, reserver)
		var args ReserveArgs
		if gob.NewDecoder(bytes.NewReader(raw)).Decode(&args) == nil {
			_ = server.Reserve(&args, &ReserveReply{})
		}
		var settle SettleArgs
		if gob.NewDecoder(bytes.NewReader(raw)).Decode(&settle) == nil {
			_ = server.Settle(&settle, nil)
		}
		if reserver.reserved < 0 || reserver.used < 0 {
			t.Fatalf("reserved %d, used %d", reserver.reserved, reserver.used)
		}
	})
}
