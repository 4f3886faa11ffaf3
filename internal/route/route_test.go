package route

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/internal/hosts"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
	"github.com/monsoonworks/monsoonworks/internal/wire/wiretest"
)

var modelQuery = Query{Target: "large", Kind: wire.KindModel, Prefixes: []uint64{11, 12, 13, 14, 15}, PromptTokens: 320}

func testWithFleet(t *testing.T, local, remote int, f func(t *testing.T, f *testFleet)) {
	t.Helper()
	wiretest.RunInBubble(t, func(t *testing.T) { f(t, newFleet(t, local, remote)) })
}

// Guards against ejecting most of a pool: false failures must not leave it without
// servers.
func TestEjectionCap(t *testing.T) {
	for _, size := range []int{1, 2, 3, 9, 20} {
		testWithFleet(t, size, 0, func(t *testing.T, f *testFleet) {
			for range 4 * size * size {
				choice, err := f.router.Choose(t.Context(), Query{Target: "large"})
				qt.Assert(t, err, qt.IsNil)
				choice.Done(Result{Kind: ResultFailed})
				ejected := 0
				for _, s := range f.router.servers {
					if s.ejected {
						ejected++
					}
				}
				qt.Assert(t, ejected <= size/3, qt.IsTrue, qt.Commentf("%d of %d", ejected, size))
			}
			p := f.router.pools["north/large"]
			qt.Assert(t, p.ejected, qt.Equals, size/3)
			time.Sleep(2 * ejectMax)
			now := time.Now()
			for _, s := range f.router.servers {
				s.healthy(now) // ends an ejection whose time has passed
			}
			qt.Assert(t, p.ejected, qt.Equals, 0)
		})
	}
}

// Guards against full load on a server that has just been readmitted or restarted,
// with a cold cache and perhaps the same fault as before.
func TestSlowStart(t *testing.T) {
	now := time.Now()
	s := &server{pool: &pool{size: 3}, slowStartFrom: now}
	for step, want := range []float64{0.1, 0.2, 0.4, 0.8, 1} {
		at := now.Add(time.Duration(step)*slowStartDoubling + time.Second)
		qt.Assert(t, s.weight(at), qt.Equals, want)
		const draws = 20000
		usable := 0
		for range draws {
			if s.usable(at) {
				usable++
			}
		}
		// 0.03 is over 8 standard deviations.
		qt.Assert(t, math.Abs(float64(usable)/draws-want) < 0.03, qt.IsTrue, qt.Commentf("%d", usable))
	}
	s.eject(now)
	qt.Assert(t, s.ejected, qt.IsTrue)
	qt.Assert(t, s.usable(now.Add(ejectMin/2)), qt.IsFalse)
	readmitted := now.Add(2 * ejectMin)
	s.healthy(readmitted)
	qt.Assert(t, s.weight(readmitted), qt.Equals, slowStartMinWeight)
	s.markAlive(readmitted, [16]byte{1})
	s.markAlive(readmitted.Add(time.Minute), [16]byte{2})
	qt.Assert(t, s.weight(readmitted.Add(time.Minute)), qt.Equals, slowStartMinWeight, qt.Commentf("restarted"))
}

// A server that reported its drain must get no requests for the rest of its lifetime, however
// long nothing is heard of it, and a late refusal of that lifetime must not bind the next.
func TestDrainBindsLifetime(t *testing.T) {
	testWithFleet(t, 1, 0, func(t *testing.T, f *testFleet) {
		late, err := f.router.Choose(t.Context(), modelQuery)
		qt.Assert(t, err, qt.IsNil)
		s := f.router.servers["s0"]
		s.recordResult(time.Now(), Result{Kind: ResultRefused, Code: verdict.CodeDraining})
		time.Sleep(time.Minute)
		_, err = f.router.Choose(t.Context(), modelQuery)
		qt.Assert(t, verdict.CodeOf(err), qt.Equals, verdict.CodeNoServer)
		s.mu.Lock()
		s.markAlive(time.Now(), [16]byte{1})
		s.mu.Unlock()
		late.Done(Result{Kind: ResultRefused, Code: verdict.CodeDraining})
		qt.Assert(t, s.leaving(time.Now()), qt.IsFalse)
	})
}

// Guards against new requests at a leaving server, whether the host list, a probe or
// a refusal reports it first.
func TestLeavingServerGetsNoWork(t *testing.T) {
	for name, leave := range map[string]func(f *testFleet){
		"host list": func(f *testFleet) { f.update(func() { f.hosts[0].Leaving = true }) },
		"probe": func(f *testFleet) {
			f.setReply("s0", func(r *wire.ProbeReply) { r.Load.Draining, r.FirstTokenMillis = true, 0 })
		},
		"refusal": func(f *testFleet) {
			f.router.servers["s0"].recordResult(time.Now(), Result{Kind: ResultRefused, Code: verdict.CodeDraining})
		},
	} {
		t.Run(name, func(t *testing.T) {
			testWithFleet(t, 4, 0, func(t *testing.T, f *testFleet) {
				for i := 1; i < 4; i++ {
					f.setReply(fmt.Sprintf("s%d", i), func(r *wire.ProbeReply) { r.FirstTokenMillis = 500 })
				}
				qt.Assert(t, f.choose(t, 100, modelQuery, Result{Kind: ResultOK})["s0"] > 10, qt.IsTrue)
				leave(f)
				qt.Assert(t, f.choose(t, 100, modelQuery, Result{Kind: ResultOK})["s0"], qt.Equals, 0)
			})
		})
	}
	testWithFleet(t, 2, 0, func(t *testing.T, f *testFleet) {
		f.update(func() { f.hosts[0].Leaving, f.hosts[1].Leaving = true, true })
		_, err := f.router.Choose(t.Context(), modelQuery)
		qt.Assert(t, verdict.CodeOf(err), qt.Equals, verdict.CodeNoServer)
		qt.Assert(t, verdict.Of(err), qt.Equals, verdict.NotRun)
	})
}

// Guards against requests with one prefix that move between servers, and against
// requests that stay with a busy server because of its cache.
func TestAffinity(t *testing.T) {
	testWithFleet(t, 12, 0, func(t *testing.T, f *testFleet) {
		chosen := f.choose(t, 60, modelQuery, Result{Kind: ResultOK})
		qt.Assert(t, len(chosen) <= 2, qt.IsTrue, qt.Commentf("%v", chosen))
		for name := range chosen {
			f.setReply(name, func(r *wire.ProbeReply) { r.FirstTokenMillis = 900 })
		}
		for name := range f.choose(t, 60, modelQuery, Result{Kind: ResultOK}) {
			qt.Assert(t, chosen[name], qt.Equals, 0)
		}
	})
}

// Guards against concurrent requests that all choose the same server, because their
// probe replies do not include each other.
func TestConcurrentChoices(t *testing.T) {
	testWithFleet(t, 6, 0, func(t *testing.T, f *testFleet) {
		choices := make(chan string, 24)
		for range cap(choices) {
			go func() {
				choice, err := f.router.Choose(t.Context(), modelQuery)
				if err == nil {
					choices <- choice.Server.Name
					choice.Done(Result{Kind: ResultOK})
				}
			}()
		}
		chosen := map[string]int{}
		for range cap(choices) {
			chosen[<-choices]++
		}
		for _, n := range chosen {
			qt.Assert(t, n <= cap(choices)/2, qt.IsTrue, qt.Commentf("%v", chosen))
		}
	})
}

// Guards against requests that wait for a server that does not answer probes, and
// against requests to a server whose connections are unresponsive.
func TestUnansweredProbe(t *testing.T) {
	testWithFleet(t, 6, 0, func(t *testing.T, f *testFleet) {
		for i := range 2 {
			f.mu.Lock()
			f.slowProbes[fmt.Sprintf("s%d", i)] = true
			f.mu.Unlock()
			f.network.Blackhole(fmt.Sprintf("s%d", 2+i))
		}
		for range 50 {
			start := time.Now()
			choice, err := f.router.Choose(t.Context(), modelQuery)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, time.Since(start) <= ProbeTimeout, qt.IsTrue)
			choice.Done(Result{Kind: ResultOK})
		}
		chosen := f.choose(t, 50, modelQuery, Result{Kind: ResultOK})
		qt.Assert(t, chosen["s4"]+chosen["s5"] > 40, qt.IsTrue, qt.Commentf("%v", chosen))
	})
}

// Guards against requests that reach another server than the chosen one, because the
// address was reassigned.
func TestReassignedAddress(t *testing.T) {
	testWithFleet(t, 3, 0, func(t *testing.T, f *testFleet) {
		f.update(func() { f.hosts[0].Address = "s1" })
		qt.Assert(t, f.choose(t, 100, modelQuery, Result{Kind: ResultOK})["s0"], qt.Equals, 0)
	})
}

// Guards against using other regions while a local server can meet the deadline, and
// against exceeding the router's share of the link.
func TestOtherRegions(t *testing.T) {
	testWithFleet(t, 3, 3, func(t *testing.T, f *testFleet) {
		c := qt.New(t)
		countRemote := func(n int, timeout time.Duration) (count int) {
			for range n {
				time.Sleep(10 * time.Millisecond)
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				choice, err := f.router.Choose(ctx, modelQuery)
				cancel()
				c.Assert(err, qt.IsNil)
				if choice.Server.Region == "south" {
					count++
				}
				choice.Done(Result{Kind: ResultOK, Bytes: 32 << 10})
			}
			return count
		}
		f.linkBytesPerSecond = 1 << 20
		c.Assert(countRemote(50, time.Second), qt.Equals, 0)
		for i := range 3 {
			f.setReply(fmt.Sprintf("s%d", i), func(r *wire.ProbeReply) { r.FirstTokenMillis = 5000 })
		}
		c.Assert(countRemote(50, time.Minute), qt.Equals, 0)
		start := time.Now()
		used := float64(countRemote(200, time.Second)) * (32<<10 + 320*bytesPerToken)
		allowed := float64(f.linkBytesPerSecond) * (1 + maxLinkWait.Seconds() + time.Since(start).Seconds())
		c.Assert(used <= allowed && used > allowed*0.9, qt.IsTrue, qt.Commentf("%.0f of %.0f", used, allowed))
		f.linkBytesPerSecond = 0
		c.Assert(countRemote(10, time.Second), qt.Equals, 0)
		f.linkBytesPerSecond = 1 << 20
		time.Sleep(time.Minute)
		f.update(func() { f.hosts = append([]hosts.Host(nil), f.hosts[3:]...) })
		c.Assert(countRemote(5, time.Minute), qt.Equals, 5)
	})
}
