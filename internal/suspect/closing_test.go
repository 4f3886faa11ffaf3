package suspect

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/internal/store/memstore"
)

// Guards against unblocking the cause of crashes when a part that was blocked beside it is answered.
func TestAnswerOfBystanderKeepsCauseBlocked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		gate := newTestShared(t, memstore.New(memstore.Options{}))
		reportCrashes(gate, "a", 3)
		c.Assert(gate.Check(t.Context(), []uint64{1, 2, 999}), qt.IsNotNil)
		// A crash that has nothing to do with fingerprint 2.
		gate.ReportCrash(Crash{ID: "other", At: time.Now().UnixMilli(), Candidates: []Candidate{begun(1, 500)}})
		c.Assert(gate.Check(t.Context(), []uint64{1, 600}), qt.IsNotNil)
		gate.ReportSound([]uint64{1, 600})
		time.Sleep(2 * time.Second)
		c.Assert(gate.Check(t.Context(), []uint64{1, 600}), qt.IsNil)
		c.Assert(gate.Check(t.Context(), []uint64{1, 2, 999}), qt.IsNotNil)
	})
}
