package watchcache

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against servers that report fewer gates than there are: soon after their start, after another
// one has failed, and while gates start again.
func TestReportedGates(t *testing.T) {
	for _, gates := range []int{minGates - 1, 2 * minGates} {
		t.Run(fmt.Sprint(gates), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				d := newDomain(t, 1, 3, 0, gates)
				time.Sleep(gateTTL - time.Second)
				check := func(n int, known bool) {
					for i, g := range d.gates[:gates] {
						counts := g.takeCounts()
						c.Check(len(counts) > 0, qt.Equals, known, qt.Commentf("gate %d: %v", i, counts))
						for _, count := range counts {
							c.Check(count, qt.Equals, n, qt.Commentf("gate %d: %v", i, counts))
						}
					}
				}
				check(0, false)
				time.Sleep(gateTTL)
				check(gates, true)
				for _, s := range d.servers {
					s.kill()
					time.Sleep(gateTTL - time.Second)
					s.start(t)
				}
				time.Sleep(3 * gateTTL)
				check(gates, true)
				for i := range gates {
					d.startGate(fmt.Sprint("restarted-", i))
				}
				time.Sleep(aloneInterval + nextTimeout)
				for _, g := range d.gates {
					g.takeCounts()
				}
				time.Sleep(gateTTL)
				check(2*gates, true)
			})
		})
	}
}

// oldReply is a NextReply of the version that reported no number of gates.
type oldReply struct {
	Result struct {
		Alone bool
		Age   time.Duration
	}
	Revision int64
}

// Guards against gates and servers of different versions that do not understand each other, or take a
// number that was not sent for a known one.
func TestGatesOfOtherVersions(t *testing.T) {
	c := qt.New(t)
	var old oldReply
	old.Result.Age, old.Revision = time.Second, 7
	var buffer bytes.Buffer
	c.Assert(gob.NewEncoder(&buffer).Encode(old), qt.IsNil)
	var reply NextReply
	c.Assert(gob.NewDecoder(&buffer).Decode(&reply), qt.IsNil)
	c.Check(reply.Gates, qt.Equals, 0)
	c.Check(reply.Revision, qt.Equals, int64(7))
	reply.Gates = 5
	c.Assert(gob.NewEncoder(&buffer).Encode(reply), qt.IsNil)
	c.Assert(gob.NewDecoder(&buffer).Decode(&old), qt.IsNil)
	c.Check(old.Result.Age, qt.Equals, time.Second)
}
