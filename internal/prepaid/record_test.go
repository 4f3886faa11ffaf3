package prepaid

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/internal/bootclock"
)

// Guards against a successor that reclaims tokens that its predecessor may have spent.
func TestSpentBounds(t *testing.T) {
	c := qt.New(t)
	share := Share{Owner: "h/1", Limit: 1000, Spent: 100}
	checkpoint := &Checkpoint{Version: 1, Owner: "h/1", At: bootclock.Instant{Boot: "b", Millis: 5000}, UsageBounds: map[string]UsageBound{"ws": {Spent: 200, Burst: 50, Rate: 100}}}
	for _, test := range []struct {
		name               string
		checkpoint         *Checkpoint
		start              bootclock.Instant
		maxSpent, minSpent Tokens
	}{
		{"same boot", checkpoint, bootclock.Instant{Boot: "b", Millis: 7000}, 450, 200},
		{"never above the limit", checkpoint, bootclock.Instant{Boot: "b", Millis: 900_000}, 1000, 200},
		{"other boot", checkpoint, bootclock.Instant{Boot: "c", Millis: 7000}, 1000, 200},
		{"clock went backwards", checkpoint, bootclock.Instant{Boot: "b", Millis: 4000}, 1000, 200},
		{"unknown boot", checkpoint, bootclock.Instant{Boot: "", Millis: 7000}, 1000, 200},
		{"other process", &Checkpoint{Owner: "h/0", At: checkpoint.At, UsageBounds: checkpoint.UsageBounds}, bootclock.Instant{Boot: "b", Millis: 7000}, 1000, 100},
		{"no checkpoint", nil, bootclock.Instant{Boot: "b", Millis: 7000}, 1000, 100},
	} {
		maxSpent, minSpent := test.checkpoint.spentBounds(share, "ws", test.start)
		c.Assert(maxSpent, qt.Equals, test.maxSpent, qt.Commentf("%s", test.name))
		c.Assert(minSpent, qt.Equals, test.minSpent, qt.Commentf("%s", test.name))
	}
	maxSpent, _ := checkpoint.spentBounds(share, "other", bootclock.Instant{Boot: "b", Millis: 7000})
	c.Assert(maxSpent, qt.Equals, Tokens(1000))
}

// Guards against a plan whose limits exceed the paid amount, or that changes the share of
// another owner.
func TestPlanStaysWithinPaid(t *testing.T) {
	c := qt.New(t)
	others := []Share{{Owner: "a/1", Limit: 600, Spent: 10, Demand: 50}, {Owner: "b/1", Limit: 300, Spent: 10, Demand: 50}}
	record := QuotaRecord{Version: 1, Closed: 50, ClosedSpent: 50, Shares: others}
	for _, waiting := range []Tokens{0, 40, 5000} {
		next := DefaultPolicy().plan(record, localState{owner: "c/1", demand: 900, waiting: waiting}, 1000)
		c.Assert(next.totalAllocated() <= 1000, qt.IsTrue)
		c.Assert(next.shareOf("a/1"), qt.Equals, others[0])
	}
	lowered := DefaultPolicy().plan(record, localState{owner: "c/1", spent: 20, reserved: 5, demand: 900}, 100)
	c.Assert(lowered.shareOf("c/1").Limit, qt.Equals, Tokens(25))
}

// Guards against spending more than either outcome of a pending write allows.
func TestPendingWritesLimitBothWays(t *testing.T) {
	c := qt.New(t)
	now := bootclock.Instant{Boot: "b", Millis: 1000}
	q := newQuota("ws", time.Time{})
	q.applyRecord(QuotaRecord{Version: 1, Shares: []Share{{Owner: "h/1", Limit: 100}}}, 5, "h/1")
	q.pendingWrites = []pendingWrite{{share: Share{Limit: 500}, baseRevision: 5}}
	c.Assert(q.limitAt(now), qt.Equals, Tokens(100))
	q.pendingWrites = []pendingWrite{{share: Share{Limit: 30}, baseRevision: 5}}
	c.Assert(q.limitAt(now), qt.Equals, Tokens(30))
	q.checkpointBounds = []checkpointBound{{bound: UsageBound{Spent: 10, Burst: 5, Rate: 10}, at: now}}
	c.Assert(q.limitAt(bootclock.Instant{Boot: "b", Millis: 2000}), qt.Equals, Tokens(25))
	q.applyRecord(QuotaRecord{Version: 1, Shares: []Share{{Owner: "h/1", Limit: 100}}}, 5, "h/1")
	c.Assert(q.pendingWrites, qt.HasLen, 1)
	q.applyRecord(QuotaRecord{Version: 1, Shares: []Share{{Owner: "h/1", Limit: 100}}}, 6, "h/1")
	c.Assert(q.pendingWrites, qt.HasLen, 0)
}

// Any stored bytes either decode to a record with consistent amounts or give an error.
func FuzzRecords(f *testing.F) {
	f.Add([]byte(`{"v":1,"closed":5,"closed_spent":3,"shares":[{"holder":"h/1","limit":9,"spent":4,"demand":1}]}`))
	f.Add([]byte(`{"v":1,"closed":9223372036854775807,"closed_spent":3,"shares":[{"holder":"h/1","limit":9,"spent":4,"demand":1}]}`))
	f.Add([]byte(`{"v":1,"holder":"h/1","at":{"boot":"b","ms":5},"rows":{"ws":{"spent":1,"burst":2,"rate":9223372036854775807}}}`))
	f.Add([]byte(`{"v":1,"holder":"h/1","at":{"boot":"b","ms":5},"rows":{"ws":{"spent":1,"burst":2,"rate":3}}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if record, err := DecodeQuotaRecord(raw); err == nil {
			if record.totalAllocated() < 0 || record.totalSpent() < 0 || record.totalDemand() < 0 || record.reservedByOthers("") < 0 {
				t.Fatalf("a sum overflows: %+v", record)
			}
			for _, share := range record.Shares {
				if share.Limit < share.Spent || share.Spent < 0 {
					t.Fatalf("%+v", share)
				}
			}
		}
		if checkpoint, err := DecodeCheckpoint(raw); err == nil {
			for _, bound := range checkpoint.UsageBounds {
				if bound.Spent < 0 || bound.Burst < 0 || bound.Rate < 0 || bound.maxSpent(time.Second) < bound.Spent || bound.maxSpent(1000*time.Hour) < bound.Spent {
					t.Fatalf("%+v", bound)
				}
			}
		}
	})
}

// Guards against a paid amount of an older configuration version that arrives late and
// replaces one that a newer version has reduced.
func TestNewestPaidVersionWins(t *testing.T) {
	c := qt.New(t)
	q := newQuota("ws", time.Now())
	for _, step := range []struct {
		paid    Tokens
		version int64
		want    Tokens
	}{{200, 5, 200}, {200, 7, 200}, {300, 6, 200}, {100, 8, 100}, {200, 7, 100}, {400, 9, 400}} {
		q.setPaid(step.paid, step.version)
		c.Assert(q.paid, qt.Equals, step.want, qt.Commentf("version %d", step.version))
	}
}
