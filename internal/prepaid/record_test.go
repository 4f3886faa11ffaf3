package prepaid

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a successor that takes back what its predecessor may have spent.
func TestStatementBounds(t *testing.T) {
	c := qt.New(t)
	share := Share{QuotaServer: "h/1", Limit: 1000, Spent: 100}
	s := &Checkpoint{Version: 1, QuotaServer: "h/1", At: Instant{"b", 5000}, Rows: map[string]UsageBound{"ws": {Spent: 200, Burst: 50, Rate: 100}}}
	for _, test := range []struct {
		name        string
		s           *Checkpoint
		start       Instant
		most, least Tokens
	}{
		{"same boot", s, Instant{"b", 7000}, 450, 200},
		{"never above the limit", s, Instant{"b", 900_000}, 1000, 200},
		{"other boot", s, Instant{"c", 7000}, 1000, 200},
		{"clock went back", s, Instant{"b", 4000}, 1000, 200},
		{"unknown boot", s, Instant{"", 7000}, 1000, 200},
		{"other process", &Checkpoint{QuotaServer: "h/0", At: s.At, Rows: s.Rows}, Instant{"b", 7000}, 1000, 100},
		{"none", nil, Instant{"b", 7000}, 1000, 100},
	} {
		most, least := test.s.bounds(share, "ws", test.start)
		c.Assert(most, qt.Equals, test.most, qt.Commentf("%s", test.name))
		c.Assert(least, qt.Equals, test.least, qt.Commentf("%s", test.name))
	}
	most, _ := s.bounds(share, "other", Instant{"b", 7000})
	c.Assert(most, qt.Equals, Tokens(1000))
}

// Guards against a plan whose limits exceed what was paid, or that takes from a
// share of another holder.
func TestPlanKeepsWithinPaid(t *testing.T) {
	c := qt.New(t)
	others := []Share{{QuotaServer: "a/1", Limit: 600, Spent: 10, Demand: 50}, {QuotaServer: "b/1", Limit: 300, Spent: 10, Demand: 50}}
	account := QuotaRecord{Version: 1, Closed: 50, ClosedSpent: 50, Shares: others}
	for _, wanted := range []Tokens{0, 40, 5000} {
		next := DefaultPolicy().plan(account, position{holder: "c/1", demand: 900, wanted: wanted}, 1000)
		c.Assert(next.limits() <= 1000, qt.IsTrue)
		c.Assert(next.share("a/1"), qt.Equals, others[0])
	}
	lowered := DefaultPolicy().plan(account, position{holder: "c/1", spent: 20, reserved: 5, demand: 900}, 100)
	c.Assert(lowered.share("c/1").Limit, qt.Equals, Tokens(25))
}

// Guards against a write of unknown outcome that is counted on before it is known.
func TestUnresolvedWritesBindBothWays(t *testing.T) {
	c := qt.New(t)
	now := Instant{"b", 1000}
	l := newLedger("ws", time.Time{})
	l.learn(QuotaRecord{Version: 1, Shares: []Share{{QuotaServer: "h/1", Limit: 100}}}, 5, "h/1")
	l.unresolved = []attempt{{share: Share{Limit: 500}, base: 5}}
	c.Assert(l.usable(now), qt.Equals, Tokens(100))
	l.unresolved = []attempt{{share: Share{Limit: 30}, base: 5}}
	c.Assert(l.usable(now), qt.Equals, Tokens(30))
	l.promises = []promise{{row: UsageBound{Spent: 10, Burst: 5, Rate: 10}, at: now}}
	c.Assert(l.usable(Instant{"b", 2000}), qt.Equals, Tokens(25))
	l.learn(QuotaRecord{Version: 1, Shares: []Share{{QuotaServer: "h/1", Limit: 100}}}, 5, "h/1")
	c.Assert(l.unresolved, qt.HasLen, 1)
	l.learn(QuotaRecord{Version: 1, Shares: []Share{{QuotaServer: "h/1", Limit: 100}}}, 6, "h/1")
	c.Assert(l.unresolved, qt.HasLen, 0)
}

// Whatever lies in the store, a record decodes to one that adds up, or gives an
// error.
func FuzzRecords(f *testing.F) {
	f.Add([]byte(`{"v":1,"closed":5,"closed_spent":3,"shares":[{"holder":"h/1","limit":9,"spent":4,"demand":1}]}`))
	f.Add([]byte(`{"v":1,"holder":"h/1","at":{"boot":"b","ms":5},"rows":{"ws":{"spent":1,"burst":2,"rate":3}}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if a, err := DecodeQuotaRecord(raw); err == nil {
			for _, s := range a.Shares {
				if s.Limit < s.Spent || s.Spent < 0 {
					t.Fatalf("%+v", s)
				}
			}
		}
		if s, err := DecodeCheckpoint(raw); err == nil {
			for _, r := range s.Rows {
				if r.Spent < 0 || r.Burst < 0 || r.Rate < 0 {
					t.Fatalf("%+v", r)
				}
			}
		}
	})
}

// Guards against what was paid by an older configuration that comes late, over one that
// a newer version took back.
func TestNewestPaidCounts(t *testing.T) {
	c := qt.New(t)
	l := newLedger("ws", time.Now())
	for _, step := range []struct {
		paid    Tokens
		version int64
		want    Tokens
	}{{200, 5, 200}, {200, 7, 200}, {300, 6, 200}, {100, 8, 100}, {200, 7, 100}, {400, 9, 400}} {
		l.notePaid(step.paid, step.version)
		c.Assert(l.paid, qt.Equals, step.want, qt.Commentf("version %d", step.version))
	}
}
