package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// One random schedule runs this many calls against this many faults.
const (
	randomSeeds  = 60
	randomCalls  = 16
	randomFaults = 6
)

// randomCall is a call with its place in the schedule and its result.
type randomCall struct {
	call   *Call
	router int
	start  time.Duration
	stop   time.Duration // of the caller, 0 if it stays
	sink   caller
	out    Outcome
	twin   *randomCall // has the same key
}

// Guards, over random schedules of refusals, cuts, silences, restarts, crashes
// and callers that leave, against every broken promise of the dispatcher: a slot
// not ended once, a request run or billed twice, a false not-run, an answer of
// another request or a part missing from a whole one.
func TestRandomSchedules(t *testing.T) {
	for seed := uint64(1); seed <= randomSeeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			bubble(t, 3, 2, func(t *testing.T, w *world) {
				rnd := rand.New(rand.NewPCG(seed, 0))
				plan := map[uuid.UUID]uint64{}
				for _, a := range w.agents {
					a.script = func(req *wire.ExecRequest) behavior { return randomBehavior(plan[req.Request], a.name) }
				}
				calls := randomSchedule(rnd)
				for _, c := range calls {
					plan[c.call.Request] = rnd.Uint64()
				}
				var group sync.WaitGroup
				group.Go(func() { randomTrouble(rnd, w) })
				for _, c := range calls {
					group.Go(func() { c.run(w) })
				}
				group.Wait()
				time.Sleep(time.Minute) // lets attempts that nobody waits for end
				for _, c := range calls {
					c.check(t, w)
				}
			})
		})
	}
}

func randomBehavior(seed uint64, server string) behavior {
	rnd := rand.New(rand.NewPCG(seed, uint64(server[1])))
	b := behavior{pause: time.Duration(rnd.IntN(200)) * time.Millisecond}
	switch rnd.IntN(12) {
	case 0:
		b.refuse = verdict.CodeOverloaded
	case 1:
		b.refuse = verdict.CodeBadRequest
	case 2:
		b.swallow = true
	case 3:
		b.accept = time.Duration(rnd.IntN(4000)) * time.Millisecond
	case 4:
		b.crash = 1 + rnd.IntN(partsToSend)
	case 5:
		b.crossed = true
	}
	return b
}

func randomSchedule(rnd *rand.Rand) (calls []*randomCall) {
	for n := range randomCalls {
		c := &randomCall{call: newCall(), router: rnd.IntN(2), start: time.Duration(rnd.IntN(3000)) * time.Millisecond}
		c.call.Idempotent, c.call.Fingerprint = rnd.IntN(2) == 0, uint64(n+1)
		c.call.Deadline = time.Now().Add(time.Duration(2+rnd.IntN(30)) * time.Second)
		if rnd.IntN(5) == 0 {
			c.stop = time.Duration(1+rnd.IntN(2000)) * time.Millisecond
		}
		if rnd.IntN(8) == 0 {
			c.sink.failAfter = 1 + rnd.IntN(partsToSend)
		}
		if n%4 == 1 {
			c.call.Key, c.twin = fmt.Sprint("key ", n), calls[n-1]
			calls[n-1].call.Key, calls[n-1].twin = c.call.Key, c
		}
		calls = append(calls, c)
	}
	return calls
}

func randomTrouble(rnd *rand.Rand, w *world) {
	for range randomFaults {
		time.Sleep(time.Duration(rnd.IntN(1000)) * time.Millisecond)
		name := fmt.Sprintf("s%d", 1+rnd.IntN(3))
		switch rnd.IntN(4) {
		case 0:
			w.network.Cut(name)
		case 1:
			w.network.Freeze(name)
		case 2:
			w.agents[name].restart()
		case 3:
			w.network.Listen(name, nil)
			w.network.Freeze(name)
			time.AfterFunc(time.Duration(rnd.IntN(8000))*time.Millisecond, func() {
				w.network.Listen(name, w.agents[name].accept)
			})
		}
	}
}

func (c *randomCall) run(w *world) {
	time.Sleep(c.start)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if c.stop > 0 {
		time.AfterFunc(c.stop, cancel)
	}
	c.out = w.routers[c.router].Do(ctx, c.call, &c.sink)
}

func (c *randomCall) check(t *testing.T, w *world) {
	t.Helper()
	q := qt.New(t)
	note := qt.Commentf("%+v: %v %v, hops %+v", *c.call, c.out.Verdict, c.out.Err, c.out.Attempts)
	runs := w.runs(c.call.Request)
	allowed := 1
	if c.call.Idempotent && c.call.Key == "" {
		allowed = 2
	}
	if c.twin != nil {
		runs += w.runs(c.twin.call.Request)
	}
	q.Check(runs <= allowed, qt.IsTrue, qt.Commentf("%d runs; %s", runs, note))
	q.Check(len(w.billed(c.call.Request)) <= 1, qt.IsTrue, note)
	q.Check(c.sink.heads <= 1, qt.IsTrue, note)
	if c.out.Verdict == verdict.NotRun {
		q.Check(w.runs(c.call.Request), qt.Equals, 0, note)
	}
	own := wholeAnswer(c.call.Request)
	if c.twin != nil && !strings.HasPrefix(own, c.sink.text) {
		own = wholeAnswer(c.twin.call.Request)
	}
	q.Check(strings.HasPrefix(own, c.sink.text), qt.IsTrue, note)
	if c.out.Err == nil {
		q.Check(c.sink.text, qt.Equals, own, note)
		q.Check(c.out.Verdict, qt.Equals, verdict.Ran, note)
		q.Check(c.out.Bill.Amount, qt.Equals, wholeBill, note)
	}
}
