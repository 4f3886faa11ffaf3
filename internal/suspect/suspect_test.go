package suspect

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/hosts"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
	"github.com/monsoonworks/monsoonworks/internal/wire"
)

// regions connects the registries of all routers.
type regions struct {
	routers  map[string]*Registry
	hosts    []hosts.Host
	down     map[string]bool
	messages atomic.Int64
}

func (r *regions) Routers() []hosts.Host { return r.hosts }

func (r *regions) Call(_ context.Context, address, method string, args, reply any) error {
	r.messages.Add(1)
	if r.down[address] {
		return errors.New("connection refused")
	}
	service := r.routers[address].Service()
	if method == "Suspect.Report" {
		return service.Report(args.(*wire.CrashReport), reply.(*wire.Empty))
	}
	return service.Permit(args.(*wire.PermitArgs), reply.(*wire.PermitReply))
}

func newRegions(t *testing.T) *regions {
	all := &regions{routers: map[string]*Registry{}, down: map[string]bool{}}
	for _, region := range []string{"north", "south"} {
		for n := range 3 {
			name := fmt.Sprintf("%s-%d", region, n)
			all.hosts = append(all.hosts, hosts.Host{Name: name, Address: name, Region: region})
			all.routers[name] = New(Options{Name: name, Region: region, Peers: all, Metrics: metrics.NewRegistry()})
		}
	}
	t.Cleanup(func() {
		for _, r := range all.routers {
			r.Close()
		}
	})
	return all
}

func crash(n byte) *wire.CrashReport {
	return &wire.CrashReport{Server: "s1", CrashID: uuid.UUID{n}, Fingerprints: []uint64{13}}
}

func codeAt(r *Registry, attempt uuid.UUID) verdict.Code {
	if err := r.Permit(context.Background(), 13, attempt); err != nil {
		if verdict.Of(err) != verdict.NotRun {
			return "no not-run verdict"
		}
		return verdict.CodeOf(err)
	}
	return ""
}

// Guards against a suspect that runs without a permit, twice at once, after its
// second crash, or never again although it is innocent, in any region.
func TestSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		all := newRegions(t)
		north, other, south := all.routers["north-0"], all.routers["north-1"], all.routers["south-2"]
		first, second := uuid.UUID{1}, uuid.UUID{2}
		c.Assert(codeAt(north, first), qt.Equals, verdict.Code(""))
		north.Finished(13, first, true)

		report := func(n byte) {
			north.Crashed(crash(n))
			synctest.Wait()
			for _, r := range all.routers { // the agent's own reports of the same crash
				_ = r.Service().Report(crash(n), &wire.Empty{})
			}
			synctest.Wait()
		}
		report(1)
		for _, r := range all.routers {
			c.Assert(r.table.crashes(13), qt.HasLen, 1)
		}
		c.Assert(codeAt(north, first), qt.Equals, verdict.Code(""))
		c.Assert(codeAt(other, second), qt.Equals, verdict.CodeOverloaded)
		north.Finished(13, first, false)
		synctest.Wait()
		c.Assert(codeAt(other, second), qt.Equals, verdict.Code(""))
		other.Finished(13, second, true)
		synctest.Wait()
		c.Assert(codeAt(north, first), qt.Equals, verdict.Code(""), qt.Commentf("cleared"))
		report(1) // late copies of the report change nothing
		c.Assert(codeAt(other, second), qt.Equals, verdict.Code(""))

		report(2)
		report(3)
		for _, r := range all.routers {
			c.Assert(codeAt(r, first), qt.Equals, verdict.CodeCrashesServers)
		}
		time.Sleep(expiry + time.Second)
		c.Assert(codeAt(south, first), qt.Equals, verdict.Code(""))
	})
}

// Guards against a suspect that runs while its home router cannot be asked, and
// against one that a dead router blocks for good.
func TestSuspectHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		all := newRegions(t)
		home, _ := all.routers["north-0"].home(13, "north")
		var asking *Registry
		for name, r := range all.routers {
			if r.Region == "north" && name != home.Name {
				asking = r
			}
		}
		asking.table.learn(uuid.UUID{1}, []uint64{13})
		all.down[home.Name] = true
		c.Assert(codeAt(asking, uuid.UUID{1}), qt.Equals, verdict.CodeNotReady)
		all.down[home.Name] = false
		// The home router started after the crash and learns of it here.
		c.Assert(codeAt(asking, uuid.UUID{1}), qt.Equals, verdict.Code(""))
		c.Assert(codeAt(asking, uuid.UUID{2}), qt.Equals, verdict.CodeOverloaded)
		time.Sleep(permitLease) // the first run's router has died
		c.Assert(codeAt(asking, uuid.UUID{2}), qt.Equals, verdict.Code(""))
	})
}

// Guards against reports that are passed on without end.
func TestReportsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := newRegions(t)
		for _, r := range all.routers {
			if r.Region == "north" {
				_ = r.Service().Report(crash(1), &wire.Empty{})
			}
		}
		synctest.Wait()
		// One message to the other region and two within it.
		qt.Assert(t, all.messages.Load(), qt.Equals, int64(3))
		for n := range maxSuspects + 10 {
			all.routers["north-0"].table.learn(uuid.UUID{9}, []uint64{uint64(n) + 100})
		}
		qt.Assert(t, all.routers["north-0"].table.entries.Len(), qt.Equals, maxSuspects)
	})
}
