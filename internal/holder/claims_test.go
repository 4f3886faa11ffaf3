package holder

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

var testTime = time.Date(2030, 1, 1, 6, 0, 0, 0, time.UTC)

func claimArgs(key byte, keyTime time.Time) *wire.ClaimArgs {
	args := &wire.ClaimArgs{KeyHash: [32]byte{key}, RequestHash: [32]byte{1}, Attempt: uuid.New(), Server: "s1"}
	if !keyTime.IsZero() {
		args.KeyUnixMilli = keyTime.UnixMilli()
	}
	return args
}

// Guards against running a request twice: a key that is claimed must be refused to
// other attempts, except to one that replaces the attempt that has it. A repeated
// claim of the same attempt, as after a lost reply, must succeed.
func TestClaimOnce(t *testing.T) {
	c := qt.New(t)
	table := newClaimTable()
	first := claimArgs(1, testTime)
	c.Assert(table.claim(testTime, first).Outcome, qt.Equals, wire.ClaimNew)
	c.Assert(table.claim(testTime, first).Outcome, qt.Equals, wire.ClaimNew, qt.Commentf("repeated after a lost reply"))

	second := claimArgs(1, testTime)
	reply := table.claim(testTime, second)
	c.Assert(reply.Outcome, qt.Equals, wire.ClaimExists)
	c.Assert(reply.Attempt, qt.Equals, first.Attempt)

	other := claimArgs(1, testTime)
	other.RequestHash = [32]byte{2}
	c.Assert(table.claim(testTime, other).Outcome, qt.Equals, wire.ClaimMismatch)

	second.Replaces = first.Attempt
	c.Assert(table.claim(testTime, second).Outcome, qt.Equals, wire.ClaimNew)
	c.Assert(table.claim(testTime, first).Outcome, qt.Equals, wire.ClaimExists)
}

// Guards against running a request twice after a takeover: claims of lost agents are
// missing, so a key that is not newer than the horizon must not count as new.
func TestClaimAfterTakeover(t *testing.T) {
	c := qt.New(t)
	table := newClaimTable()
	table.beginRebuild()
	c.Assert(table.claim(testTime, claimArgs(1, testTime)).Outcome, qt.Equals, wire.ClaimUnavailable)
	known := wire.ClaimedAttempt{KeyHash: [32]byte{2}, RequestHash: [32]byte{1}, Attempt: uuid.New()}
	table.restore(testTime, budget.Incarnation{Name: "s2"}, known)
	horizon := testTime.Add(-time.Minute)
	table.finishRebuild(horizon)

	for _, test := range []struct {
		name string
		key  byte
		time time.Time
		want wire.ClaimOutcome
	}{
		{"restored from an agent", 2, horizon.Add(-time.Minute), wire.ClaimExists},
		{"older than the horizon", 3, horizon.Add(-time.Second), wire.ClaimUncertain},
		{"within the clock skew", 4, horizon.Add(MaxClockSkew), wire.ClaimUncertain},
		{"newer than the horizon", 5, horizon.Add(MaxClockSkew + time.Millisecond), wire.ClaimNew},
		{"without time", 6, time.Time{}, wire.ClaimUncertain},
	} {
		c.Check(table.claim(testTime, claimArgs(test.key, test.time)).Outcome, qt.Equals, test.want, qt.Commentf(test.name))
	}
	later := horizon.Add(KeyRetention + 3*MaxClockSkew)
	c.Assert(table.claim(later, claimArgs(6, time.Time{})).Outcome, qt.Equals, wire.ClaimNew)
}

// Guards against running a request twice with a key whose claim has expired.
func TestClaimExpiredKeyIsUncertain(t *testing.T) {
	c := qt.New(t)
	table := newClaimTable()
	first := claimArgs(1, testTime.Add(MaxClockSkew))
	c.Assert(table.claim(testTime, first).Outcome, qt.Equals, wire.ClaimNew)
	for _, age := range []time.Duration{KeyRetention, KeyRetention + MaxClockSkew, KeyRetention + 3*MaxClockSkew, 2 * KeyRetention} {
		again := claimArgs(1, testTime.Add(MaxClockSkew))
		c.Assert(table.claim(testTime.Add(age), again).Outcome, qt.Not(qt.Equals), wire.ClaimNew)
	}
}
