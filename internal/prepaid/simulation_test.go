package prepaid

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/devel/standin/hostclock"
	"github.com/monsoonworks/monsoonworks/internal/store/lossystore"
	"github.com/monsoonworks/monsoonworks/internal/store/memstore"
)

// testHost is a host that runs one quota server process at a time.
type testHost struct {
	name    string
	clock   *hostclock.Clock
	store   *lossystore.Store
	manager *Manager
	stop    context.CancelFunc
	starts  int
}

func (h *testHost) start(t *testing.T) {
	h.starts++
	ctx, cancel := context.WithCancel(t.Context())
	h.stop = cancel
	manager := NewManager(Options{
		Owner: OwnerName(h.name, fmt.Sprint(h.starts)), Prefix: "a/", Clock: h.clock, Store: h.store,
		Policy: DefaultPolicy(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: metrics.NewRegistry(),
	})
	h.manager = manager
	go func() { _ = manager.Run(ctx) }()
}

// simulation is a deployment with one workspace. It counts what the requests consume.
type simulation struct {
	t      *testing.T
	random *rand.Rand
	hosts  []*testHost

	mu       sync.Mutex
	paid     Tokens
	version  int64
	consumed Tokens
	refused  int
}

// setPaid sets the paid amount in a new version of the configuration.
func (s *simulation) setPaid(paid Tokens) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paid = paid
	s.version++
}

// reservationRequest returns a request for a reservation as of the current configuration.
func (s *simulation) reservationRequest(bound Tokens) ReservationRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ReservationRequest{Workspace: "ws", Paid: s.paid, Version: s.version, Bound: bound}
}

// totals returns the consumed tokens and the number of refused requests.
func (s *simulation) totals() (consumed Tokens, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.consumed, s.refused
}

// deliver counts tokens that a caller received. More than the paid amount is an error.
func (s *simulation) deliver(tokens Tokens) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.consumed += tokens
	if s.consumed > s.paid {
		s.t.Errorf("%d tokens consumed of %d paid", s.consumed, s.paid)
	}
}

func newSimulation(t *testing.T, seed uint64, hosts int) *simulation {
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 1)), paid: 400_000}
	mem := memstore.New(memstore.Options{})
	for i := range hosts {
		h := &testHost{
			name: fmt.Sprintf("h%d", i), clock: &hostclock.Clock{Boot: "b", Start: time.Now().Add(-time.Hour)},
			store: lossystore.New(mem, seed, uint64(i)+2),
		}
		s.hosts = append(s.hosts, h)
		h.start(t)
	}
	return s
}

// request makes a request at a random host. Its tokens count as delivered even if the quota
// server is killed meanwhile, because the caller already has them.
func (s *simulation) request() {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	bound := Tokens(500 + s.random.IntN(6000))
	used := bound * Tokens(30+s.random.IntN(71)) / 100
	duration := time.Duration(s.random.IntN(400)) * time.Millisecond
	manager := h.manager
	go func() {
		r, err := manager.Reserve(s.t.Context(), s.reservationRequest(bound))
		if err != nil {
			s.mu.Lock()
			s.refused++
			s.mu.Unlock()
			return
		}
		s.deliver(used)
		time.Sleep(duration)
		r.Settle(used)
	}()
}

// injectFault injects a random fault, ends one, or changes the configuration. In one case of
// eight it does nothing.
func (s *simulation) injectFault() {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	switch s.random.IntN(8) {
	case 0: // kill and restart after up to 0.8 s
		h.stop()
		time.Sleep(time.Duration(s.random.IntN(800)) * time.Millisecond)
		h.start(s.t)
	case 1: // power failure: the boot ID and the boot clock change
		h.stop()
		h.clock = &hostclock.Clock{
			Boot:  fmt.Sprint("b", s.random.IntN(1000)),
			Start: time.Now().Add(-time.Duration(s.random.IntN(1000)) * time.Second),
		}
		h.start(s.t)
	case 2: // the store becomes unreachable for the host, or reachable again
		h.store.UpdateFaults(func(f *lossystore.Faults) { f.Down = !f.Down })
	case 3: // the host loses replies of the store, whose writes may be delayed
		lossRate, delayLost := s.random.Float64()*0.6, s.random.IntN(2) == 0
		h.store.UpdateFaults(func(f *lossystore.Faults) { f.LossRate, f.DelayLost = lossRate, delayLost })
	case 4: // the host's store faults end
		h.store.UpdateFaults(func(f *lossystore.Faults) { f.LossRate, f.Down = 0, false })
	case 5: // top-up
		s.setPaid(s.paid + 20_000)
	case 6: // planned shutdown
		ctx, cancel := context.WithTimeout(s.t.Context(), 500*time.Millisecond)
		h.stop()
		time.Sleep(500 * time.Millisecond) // requests in progress end
		_ = h.manager.Close(ctx)           // may fail while the store is down
		cancel()
		h.start(s.t)
	}
}

// Guards against a workspace that spends more than it paid for, under kills, power failures,
// planned shutdowns, store outages, lost replies and delayed writes of the store, and top-ups.
func TestNeverOverspent(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			s := newSimulation(t, seed, 4)
			for step := range 1200 {
				s.request()
				if step%25 == 24 {
					s.injectFault()
				}
				time.Sleep(time.Duration(s.random.IntN(40)) * time.Millisecond)
			}
			time.Sleep(time.Second)
			for _, h := range s.hosts {
				h.stop()
			}
			time.Sleep(4 * time.Second)
		})
	}
}

// Without faults, requests ask for twice the balance: at least 94% of it is consumed, and some
// requests are refused.
func TestBalanceIsUsedInFull(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := newSimulation(t, seed, 4)
			for range 260 {
				s.request()
				time.Sleep(30 * time.Millisecond)
			}
			time.Sleep(2 * time.Second)
			consumed, refused := s.totals()
			c.Assert(consumed*100 >= s.paid*94, qt.IsTrue, qt.Commentf("%d of %d", consumed, s.paid))
			c.Assert(refused > 0, qt.IsTrue)
			for _, h := range s.hosts {
				h.stop()
			}
			time.Sleep(time.Second)
		})
	}
}

// The store is down for all quota servers for 8 s, in which about 2% of the paid amount is spent:
// no request is refused.
func TestShareCoversStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSimulation(t, 7, 4)
		s.setPaid(20_000_000)
		run := func(seconds int) {
			for range seconds * 20 {
				s.request()
				time.Sleep(50 * time.Millisecond)
			}
		}
		run(6)
		_, before := s.totals()
		for _, h := range s.hosts {
			h.store.UpdateFaults(func(f *lossystore.Faults) { f.Down = true })
		}
		run(8)
		_, after := s.totals()
		c.Assert(after-before, qt.Equals, 0)
		for _, h := range s.hosts {
			h.stop()
		}
		time.Sleep(2 * time.Second)
	})
}

// All quota servers are killed: their successors count all consumed tokens as spent, and less
// than an eighth of the paid amount in addition.
func TestSuccessorReclaimsUnspentTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSimulation(t, 3, 4)
		s.setPaid(4_000_000)
		for range 200 {
			s.request()
			time.Sleep(25 * time.Millisecond)
		}
		for _, h := range s.hosts {
			h.stop()
		}
		time.Sleep(700 * time.Millisecond)
		for _, h := range s.hosts {
			h.start(t)
		}
		time.Sleep(maxCloseDelay + time.Second)
		raw, err := s.hosts[0].store.Get(t.Context(), "a/account/ws")
		c.Assert(err, qt.IsNil)
		record, err := DecodeQuotaRecord(raw.Value)
		c.Assert(err, qt.IsNil)
		consumed, _ := s.totals()
		c.Assert(record.Closed >= consumed, qt.IsTrue, qt.Commentf("closed %d, consumed %d", record.Closed, consumed))
		lost := record.Closed - consumed
		c.Assert(lost < s.paid/8, qt.IsTrue, qt.Commentf("%d of %d lost", lost, s.paid))
		for _, h := range s.hosts {
			h.stop()
		}
		time.Sleep(time.Second)
	})
}

// All requests of a workspace go to one quota server and reserve four times what they
// consume: none is refused, because the balance always covers them.
func TestOneServerServesAllRequests(t *testing.T) {
	const paid, bound, used, requests = 3_000_000, 6000, 1500, 700
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSimulation(t, 5, 4)
		s.setPaid(paid)
		manager := s.hosts[0].manager
		var refused atomic.Int32
		for range requests {
			go func() {
				r, err := manager.Reserve(t.Context(), s.reservationRequest(bound))
				if err != nil {
					refused.Add(1)
					return
				}
				time.Sleep(1500 * time.Millisecond)
				r.Settle(used)
			}()
			time.Sleep(8 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		c.Assert(refused.Load(), qt.Equals, int32(0))
		for _, h := range s.hosts {
			h.stop()
		}
		time.Sleep(time.Second)
	})
}

// A fleet of 40 quota servers restarts and all callers of one workspace return at once: of the
// requests from 1.5 s later on, at most 1% are refused.
func TestFleetRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSimulation(t, 11, 40)
		s.setPaid(40_000_000)
		run := func(requests int) {
			for range requests {
				s.request()
				time.Sleep(5 * time.Millisecond)
			}
		}
		run(400)
		for _, h := range s.hosts {
			h.stop()
		}
		time.Sleep(800 * time.Millisecond)
		for _, h := range s.hosts {
			h.start(t)
		}
		run(300)
		time.Sleep(maxReserveWait)
		_, before := s.totals()
		run(600)
		time.Sleep(time.Second)
		_, after := s.totals()
		c.Assert(after-before <= 6, qt.IsTrue, qt.Commentf("%d of 600 refused", after-before))
		for _, h := range s.hosts {
			h.stop()
		}
		time.Sleep(4 * time.Second)
	})
}

// Guards against headroom that stays at an idle quota server: the next quota server that
// serves the workspace can use the whole balance.
func TestIdleShareIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSimulation(t, 13, 2)
		s.setPaid(300_000)
		spend := func(manager *Manager, requests int) (spent Tokens) {
			for range requests {
				r, err := manager.Reserve(t.Context(), s.reservationRequest(3000))
				if err != nil {
					break
				}
				r.Settle(3000)
				spent += 3000
				time.Sleep(100 * time.Millisecond)
			}
			return spent
		}
		first := spend(s.hosts[0].manager, 50)
		c.Check(first, qt.Equals, Tokens(150_000))
		time.Sleep(5 * time.Second)
		second := spend(s.hosts[1].manager, 100)
		c.Check(second, qt.Equals, Tokens(150_000))
		for _, h := range s.hosts {
			h.stop()
		}
		time.Sleep(time.Second)
	})
}

// A quota server under steady demand is killed: its successor counts all spent tokens as spent,
// and at most three seconds of demand in addition.
func TestKillLosesFewTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSimulation(t, 17, 1)
		const demand = 100_000 // tokens per second
		s.setPaid(100 * demand)
		host := s.hosts[0]
		spent := Tokens(0)
		for range 1000 {
			r, err := host.manager.Reserve(t.Context(), s.reservationRequest(demand/100))
			if !c.Check(err, qt.IsNil) {
				break
			}
			r.Settle(demand / 100)
			spent += demand / 100
			time.Sleep(10 * time.Millisecond)
		}
		host.stop()
		time.Sleep(500 * time.Millisecond)
		host.start(t)
		time.Sleep(maxCloseDelay + time.Second)
		raw, err := host.store.Get(t.Context(), "a/account/ws")
		c.Check(err, qt.IsNil)
		record, err := DecodeQuotaRecord(raw.Value)
		c.Check(err, qt.IsNil)
		lost := record.Closed - spent
		c.Check(lost >= 0 && lost <= 3*demand, qt.IsTrue, qt.Commentf("%d lost", lost))
		host.stop()
		time.Sleep(time.Second)
	})
}
