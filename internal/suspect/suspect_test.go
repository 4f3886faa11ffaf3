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

// fakePeers is the Peers of the routers of two regions. It connects their registries.
type fakePeers struct {
	registries  map[string]*Registry
	hosts       []hosts.Host
	unreachable map[string]bool
	messages    atomic.Int64
}

func (p *fakePeers) Routers() []hosts.Host { return p.hosts }

func (p *fakePeers) Call(_ context.Context, address, method string, args, reply any) error {
	p.messages.Add(1)
	if p.unreachable[address] {
		return errors.New("connection refused")
	}
	service := p.registries[address].Service()
	if method == "Suspect.Report" {
		return service.Report(args.(*wire.CrashReport), reply.(*wire.Empty))
	}
	return service.Permit(args.(*wire.PermitArgs), reply.(*wire.PermitReply))
}

func newFakePeers(t *testing.T) *fakePeers {
	peers := &fakePeers{registries: map[string]*Registry{}, unreachable: map[string]bool{}}
	for _, region := range []string{"north", "south"} {
		for n := range 3 {
			name := fmt.Sprintf("%s-%d", region, n)
			peers.hosts = append(peers.hosts, hosts.Host{Name: name, Address: name, Region: region})
			peers.registries[name] = New(Options{Name: name, Region: region, Peers: peers, Metrics: metrics.NewRegistry()})
		}
	}
	t.Cleanup(func() {
		for _, r := range peers.registries {
			r.Close()
		}
	})
	return peers
}

// crashReport returns a report of crash n with fingerprint 13.
func crashReport(n byte) *wire.CrashReport {
	return &wire.CrashReport{Server: "s1", CrashID: uuid.UUID{n}, Fingerprints: []uint64{13}}
}

// permitCode requests a permit for an attempt of fingerprint 13 and returns the code of
// the refusal, empty if it was granted.
func permitCode(r *Registry, attempt uuid.UUID) verdict.Code {
	if err := r.Permit(context.Background(), 13, attempt); err != nil {
		if verdict.Of(err) != verdict.NotRun {
			return "no not-run verdict"
		}
		return verdict.CodeOf(err)
	}
	return ""
}

// Guards against a suspect that runs without a permit, in two concurrent attempts, or
// after its second crash, and against one that stays refused after it has completed, in
// any region.
func TestSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		peers := newFakePeers(t)
		north, other, south := peers.registries["north-0"], peers.registries["north-1"], peers.registries["south-2"]
		first, second := uuid.UUID{1}, uuid.UUID{2}
		c.Assert(permitCode(north, first), qt.Equals, verdict.Code(""))
		north.ReportFinished(13, first, true)

		report := func(n byte) {
			north.ReportCrash(crashReport(n))
			synctest.Wait()
			for _, r := range peers.registries { // the agent reports the same crash to all routers
				_ = r.Service().Report(crashReport(n), &wire.Empty{})
			}
			synctest.Wait()
		}
		report(1)
		for _, r := range peers.registries {
			c.Assert(r.table.crashes(13), qt.HasLen, 1)
		}
		c.Assert(permitCode(north, first), qt.Equals, verdict.Code(""))
		c.Assert(permitCode(other, second), qt.Equals, verdict.CodeOverloaded)
		north.ReportFinished(13, first, false)
		synctest.Wait()
		c.Assert(permitCode(other, second), qt.Equals, verdict.Code(""))
		other.ReportFinished(13, second, true)
		synctest.Wait()
		c.Assert(permitCode(north, first), qt.Equals, verdict.Code(""), qt.Commentf("cleared"))
		report(1) // a late copy of the report is ignored
		c.Assert(permitCode(other, second), qt.Equals, verdict.Code(""))

		report(2)
		report(3)
		for _, r := range peers.registries {
			c.Assert(permitCode(r, first), qt.Equals, verdict.CodeCrashesServers)
		}
		time.Sleep(suspectTTL + time.Second)
		c.Assert(permitCode(south, first), qt.Equals, verdict.Code(""))
	})
}

// Guards against a suspect that runs while its home router is unreachable, and against
// one that stays refused after the router that had the permit died.
func TestSuspectHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		peers := newFakePeers(t)
		home, _ := peers.registries["north-0"].home(13, "north")
		var requester *Registry
		for name, r := range peers.registries {
			if r.Region == "north" && name != home.Name {
				requester = r
			}
		}
		requester.table.add(uuid.UUID{1}, []uint64{13})
		peers.unreachable[home.Name] = true
		c.Assert(permitCode(requester, uuid.UUID{1}), qt.Equals, verdict.CodeNotReady)
		peers.unreachable[home.Name] = false
		// The home router started after the crash and learns of it by this call.
		c.Assert(permitCode(requester, uuid.UUID{1}), qt.Equals, verdict.Code(""))
		c.Assert(permitCode(requester, uuid.UUID{2}), qt.Equals, verdict.CodeOverloaded)
		time.Sleep(permitTTL) // the router of the first attempt has died
		c.Assert(permitCode(requester, uuid.UUID{2}), qt.Equals, verdict.Code(""))
	})
}

// Guards against reports that are forwarded without end, and against a table that grows
// without bound.
func TestBoundedReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := newFakePeers(t)
		for _, r := range peers.registries {
			if r.Region == "north" {
				_ = r.Service().Report(crashReport(1), &wire.Empty{})
			}
		}
		synctest.Wait()
		// One message to the other region and two within that region.
		qt.Assert(t, peers.messages.Load(), qt.Equals, int64(3))
		for n := range maxSuspects + 10 {
			peers.registries["north-0"].table.add(uuid.UUID{9}, []uint64{uint64(n) + 100})
		}
		qt.Assert(t, peers.registries["north-0"].table.entries.Len(), qt.Equals, maxSuspects)
	})
}
