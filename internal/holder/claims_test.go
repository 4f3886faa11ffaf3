package holder

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

var claimNow = time.Date(2030, 1, 1, 6, 0, 0, 0, time.UTC)

func claimArgs(key byte, keyTime time.Time) *wire.ClaimArgs {
	args := &wire.ClaimArgs{KeyHash: [32]byte{key}, RequestHash: [32]byte{1}, Attempt: uuid.New(), Server: "s1"}
	if !keyTime.IsZero() {
		args.KeyUnixMilli = keyTime.UnixMilli()
	}
	return args
}

// Guards against running a request twice when its key is claimed again.
func TestClaimOnce(t *testing.T) {
	c := qt.New(t)
	table := newClaimTable()
	first := claimArgs(1, claimNow)
	c.Assert(table.claim(claimNow, first).Outcome, qt.Equals, wire.ClaimNew)
	c.Assert(table.claim(claimNow, first).Outcome, qt.Equals, wire.ClaimNew, qt.Commentf("lost answer"))

	second := claimArgs(1, claimNow)
	reply := table.claim(claimNow, second)
	c.Assert(reply.Outcome, qt.Equals, wire.ClaimExists)
	c.Assert(reply.Attempt, qt.Equals, first.Attempt)

	other := claimArgs(1, claimNow)
	other.RequestHash = [32]byte{2}
	c.Assert(table.claim(claimNow, other).Outcome, qt.Equals, wire.ClaimMismatch)

	second.Replaces = first.Attempt
	c.Assert(table.claim(claimNow, second).Outcome, qt.Equals, wire.ClaimNew)
	c.Assert(table.claim(claimNow, first).Outcome, qt.Equals, wire.ClaimExists)
}

// Guards against taking a repeated key for a new one after a takeover that could
// not rebuild all claims.
func TestClaimAfterTakeover(t *testing.T) {
	c := qt.New(t)
	table := newClaimTable()
	table.beginRebuild()
	c.Assert(table.claim(claimNow, claimArgs(1, claimNow)).Outcome, qt.Equals, wire.ClaimUnavailable)
	known := wire.ClaimedAttempt{KeyHash: [32]byte{2}, RequestHash: [32]byte{1}, Attempt: uuid.New()}
	table.restore(claimNow, budget.Incarnation{Name: "s2"}, known)
	floor := claimNow.Add(-time.Minute)
	table.finishRebuild(floor)

	for _, test := range []struct {
		name string
		key  byte
		time time.Time
		want wire.ClaimOutcome
	}{
		{"rebuilt", 2, floor.Add(-time.Minute), wire.ClaimExists},
		{"older than the floor", 3, floor.Add(-time.Second), wire.ClaimUncertain},
		{"within the clock tolerance", 4, floor.Add(MaxClockSkew), wire.ClaimUncertain},
		{"newer than the floor", 5, floor.Add(MaxClockSkew + time.Millisecond), wire.ClaimNew},
		{"without a time", 6, time.Time{}, wire.ClaimUncertain},
	} {
		c.Check(table.claim(claimNow, claimArgs(test.key, test.time)).Outcome, qt.Equals, test.want, qt.Commentf(test.name))
	}
	later := floor.Add(KeyRetention + 3*MaxClockSkew)
	c.Assert(table.claim(later, claimArgs(6, time.Time{})).Outcome, qt.Equals, wire.ClaimNew)
}

// Guards against a key that outlives the table's memory of it.
func TestClaimExpiredKeyIsUncertain(t *testing.T) {
	c := qt.New(t)
	table := newClaimTable()
	first := claimArgs(1, claimNow.Add(MaxClockSkew))
	c.Assert(table.claim(claimNow, first).Outcome, qt.Equals, wire.ClaimNew)
	for _, age := range []time.Duration{KeyRetention, KeyRetention + MaxClockSkew, KeyRetention + 3*MaxClockSkew, 2 * KeyRetention} {
		again := claimArgs(1, claimNow.Add(MaxClockSkew))
		c.Assert(table.claim(claimNow.Add(age), again).Outcome, qt.Not(qt.Equals), wire.ClaimNew)
	}
}
