package agent

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/engine"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// Guards against a not-run verdict, and a missing bill, for a request whose stream broke and
// whose resumption found the port closed.
func TestClosedPortAfterStreamBroke(t *testing.T) {
	runFixture(t, Options{}, func(f *fixture) {
		f.engine.fail(nil, fmt.Errorf("%w: %w", engine.ErrServerLost, engine.ErrNotSent), 3)
		s := f.run(request())
		f.Assert(s.done.Verdict, qt.Equals, verdict.Ran)
		f.Assert(s.done.Code, qt.Equals, verdict.CodeServerLost)
		f.Assert(s.done.Bill.Amount, qt.Equals, budget.Tokens(3))
	})
}

// Guards against ending attempts that run on the restarted engine although the periodic health
// check has not seen the restart yet, and against a crash that is reported again by each
// attempt that it ended.
func TestRestartFoundByOneAttempt(t *testing.T) {
	runFixture(t, Options{Slots: 4}, func(f *fixture) {
		f.engine.setBoot("b1")
		time.Sleep(2 * healthInterval)
		f.engine.length = 20
		// The engine crashes and is back before anyone looks. The first two attempts lose
		// their streams, the third one runs on the new process.
		f.engine.fail(nil, engine.ErrStreamLost, 5)
		first, second := f.start(request()), f.start(request())
		synctest.Wait()
		f.engine.fail(nil, nil, 0)
		f.engine.setBoot("b2")
		third := f.start(request())
		for _, s := range []*stubStream{first, second, third} {
			<-s.ended
		}
		for _, s := range []*stubStream{first, second} {
			f.Assert(s.done.Code, qt.Equals, verdict.CodeServerLost)
			f.Assert(s.done.Crashed, qt.IsTrue)
			f.Assert(s.done.CrashID, qt.Equals, f.reports[0].CrashID)
		}
		f.Assert(third.done.Code, qt.Equals, verdict.Code(""))
		f.Assert(third.done.Crashed, qt.IsFalse)
		f.Assert(third.done.CrashID, qt.Equals, uuid.Nil)
		f.Assert(f.reports, qt.HasLen, 1)
		f.Assert(f.run(request()).refused, qt.IsNil)
	})
}
