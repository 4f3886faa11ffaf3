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

// Each random schedule runs randomCalls calls and injects randomFaults faults.
const (
	randomSeeds  = 60
	randomCalls  = 16
	randomFaults = 6
)

// randomCall is a call with its place in the schedule and its result.
type randomCall struct {
	call       *Call
	router     int           // index in cluster.routers
	start      time.Duration // since the start of the schedule
	leaveAfter time.Duration // 0 if the caller stays
	sink       recordingSink
	out        Outcome
	sameKey    *randomCall // call with the same idempotency key
}

// Guards against violations of the dispatcher's guarantees: each reservation is
// closed exactly once, no request runs more often than allowed or is billed
// twice, a request with a not-run verdict did not run, and a response belongs to
// its request and is complete if it is reported as complete. Random schedules
// contain refusals, lost and unresponsive connections, restarts, crashes and
// callers that disconnect.
func TestRandomSchedules(t *testing.T) {
	for seed := uint64(1); seed <= randomSeeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			runCluster(t, 3, 2, func(t *testing.T, cl *cluster) {
				rnd := rand.New(rand.NewPCG(seed, 0))
				seeds := map[uuid.UUID]uint64{}
				for _, a := range cl.agents {
					a.behaviorFor = func(req *wire.ExecRequest) behavior { return randomBehavior(seeds[req.Request], a.name) }
				}
				calls := randomSchedule(rnd)
				for _, c := range calls {
					seeds[c.call.Request] = rnd.Uint64()
				}
				var group sync.WaitGroup
				group.Go(func() { injectFaults(rnd, cl) })
				for _, c := range calls {
					group.Go(func() { c.run(cl) })
				}
				group.Wait()
				time.Sleep(time.Minute) // lets attempts end whose caller has left
				for _, c := range calls {
					c.check(t, cl)
				}
			})
		})
	}
}

func randomBehavior(seed uint64, server string) behavior {
	rnd := rand.New(rand.NewPCG(seed, uint64(server[1])))
	b := behavior{chunkDelay: time.Duration(rnd.IntN(200)) * time.Millisecond}
	switch rnd.IntN(12) {
	case 0:
		b.refuse = verdict.CodeOverloaded
	case 1:
		b.refuse = verdict.CodeBadRequest
	case 2:
		b.dropRequest = true
	case 3:
		b.acceptDelay = time.Duration(rnd.IntN(4000)) * time.Millisecond
	case 4:
		b.crashBefore = 1 + rnd.IntN(chunkCount)
	case 5:
		b.mismatched = true
	}
	return b
}

func randomSchedule(rnd *rand.Rand) (calls []*randomCall) {
	for n := range randomCalls {
		c := &randomCall{call: newCall(), router: rnd.IntN(2), start: time.Duration(rnd.IntN(3000)) * time.Millisecond}
		c.call.Idempotent, c.call.Fingerprint = rnd.IntN(2) == 0, uint64(n+1)
		c.call.Deadline = time.Now().Add(time.Duration(2+rnd.IntN(30)) * time.Second)
		if rnd.IntN(5) == 0 {
			c.leaveAfter = time.Duration(1+rnd.IntN(2000)) * time.Millisecond
		}
		if rnd.IntN(8) == 0 {
			c.sink.failAfter = 1 + rnd.IntN(chunkCount)
		}
		if n%4 == 1 {
			c.call.Key, c.sameKey = fmt.Sprint("key ", n), calls[n-1]
			calls[n-1].call.Key, calls[n-1].sameKey = c.call.Key, c
		}
		calls = append(calls, c)
	}
	return calls
}

func injectFaults(rnd *rand.Rand, cl *cluster) {
	for range randomFaults {
		time.Sleep(time.Duration(rnd.IntN(1000)) * time.Millisecond)
		name := fmt.Sprintf("s%d", 1+rnd.IntN(3))
		switch rnd.IntN(4) {
		case 0:
			cl.network.Disconnect(name)
		case 1:
			cl.network.Blackhole(name)
		case 2:
			cl.agents[name].restart()
		case 3:
			cl.network.Listen(name, nil)
			cl.network.Blackhole(name)
			time.AfterFunc(time.Duration(rnd.IntN(8000))*time.Millisecond, func() {
				cl.network.Listen(name, cl.agents[name].accept)
			})
		}
	}
}

func (c *randomCall) run(cl *cluster) {
	time.Sleep(c.start)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if c.leaveAfter > 0 {
		time.AfterFunc(c.leaveAfter, cancel)
	}
	c.out = cl.routers[c.router].Do(ctx, c.call, &c.sink)
}

func (c *randomCall) check(t *testing.T, cl *cluster) {
	t.Helper()
	q := qt.New(t)
	note := qt.Commentf("%+v: %v %v, attempts %+v", *c.call, c.out.Verdict, c.out.Err, c.out.Attempts)
	runs := cl.runs(c.call.Request)
	allowed := 1
	if c.call.Idempotent && c.call.Key == "" {
		allowed = 2
	}
	if c.sameKey != nil {
		runs += cl.runs(c.sameKey.call.Request)
	}
	q.Check(runs <= allowed, qt.IsTrue, qt.Commentf("%d runs; %s", runs, note))
	q.Check(len(cl.billed(c.call.Request)) <= 1, qt.IsTrue, note)
	q.Check(c.sink.heads <= 1, qt.IsTrue, note)
	if c.out.Verdict == verdict.NotRun {
		q.Check(cl.runs(c.call.Request), qt.Equals, 0, note)
	}
	want := fullResponse(c.call.Request)
	if c.sameKey != nil && !strings.HasPrefix(want, c.sink.text) {
		want = fullResponse(c.sameKey.call.Request)
	}
	q.Check(strings.HasPrefix(want, c.sink.text), qt.IsTrue, note)
	if c.out.Err == nil {
		q.Check(c.sink.text, qt.Equals, want, note)
		q.Check(c.out.Verdict, qt.Equals, verdict.Ran, note)
		q.Check(c.out.Bill.Amount, qt.Equals, fullBill, note)
	}
}
