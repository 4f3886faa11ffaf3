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

	"github.com/monsoonworks/monsoonworks/internal/store/lossystore"
	"github.com/monsoonworks/monsoonworks/internal/store/memstore"
)

// testClock is a host's clock over the bubble's time.
type testClock struct {
	boot string
	base time.Time
}

func (c *testClock) Now() Instant {
	return Instant{Boot: c.boot, Millis: time.Since(c.base).Milliseconds()}
}

// host is a holder's host in the simulation.
type host struct {
	name  string
	clock *testClock
	store *lossystore.Store
	book  *Manager
	stop  context.CancelFunc
	boots int
}

func (h *host) start(t *testing.T) {
	h.boots++
	ctx, cancel := context.WithCancel(t.Context())
	h.stop = cancel
	book := NewManager(Options{
		QuotaServer: QuotaServerName(h.name, fmt.Sprint(h.boots)), Prefix: "a/", Clock: h.clock, Store: h.store,
		Policy: DefaultPolicy(), Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: metrics.NewRegistry(),
	})
	h.book = book
	go func() { _ = book.Run(ctx) }()
}

// world is a deployment with one workspace, and what its requests consumed.
type world struct {
	t      *testing.T
	random *rand.Rand
	hosts  []*host

	mu       sync.Mutex
	paid     Tokens
	version  int64
	consumed Tokens
	refused  int
}

// setPaid sets what the workspace has paid for, by a new configuration.
func (w *world) setPaid(paid Tokens) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paid = paid
	w.version++
}

// claim asks for a part of the balance.
func (w *world) claim(bound Tokens) ReservationRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	return ReservationRequest{Workspace: "ws", Paid: w.paid, Version: w.version, Bound: bound}
}

// totals returns what was consumed and how many requests were refused.
func (w *world) totals() (consumed Tokens, refused int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.consumed, w.refused
}

// deliver counts what a caller got.
func (w *world) deliver(tokens Tokens) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.consumed += tokens
	if w.consumed > w.paid {
		w.t.Errorf("%d tokens consumed of %d paid", w.consumed, w.paid)
	}
}

func newWorld(t *testing.T, seed uint64, hosts int) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(seed, 1)), paid: 400_000}
	mem := memstore.New(memstore.Options{})
	for i := range hosts {
		h := &host{
			name: fmt.Sprintf("h%d", i), clock: &testClock{boot: "b", base: time.Now().Add(-time.Hour)},
			store: lossystore.New(mem, seed, uint64(i)+2),
		}
		w.hosts = append(w.hosts, h)
		h.start(t)
	}
	return w
}

// request makes a request at a random host. What it consumes is delivered even if
// its holder is killed meanwhile: the caller has it.
func (w *world) request() {
	h := w.hosts[w.random.IntN(len(w.hosts))]
	bound := Tokens(500 + w.random.IntN(6000))
	used := bound * Tokens(30+w.random.IntN(71)) / 100
	length := time.Duration(w.random.IntN(400)) * time.Millisecond
	book := h.book
	go func() {
		r, err := book.Reserve(w.t.Context(), w.claim(bound))
		if err != nil {
			w.mu.Lock()
			w.refused++
			w.mu.Unlock()
			return
		}
		w.deliver(used)
		time.Sleep(length)
		r.Settle(used)
	}()
}

// fault makes one random change of the world.
func (w *world) fault() {
	h := w.hosts[w.random.IntN(len(w.hosts))]
	switch w.random.IntN(8) {
	case 0: // killed, and back at once or later
		h.stop()
		time.Sleep(time.Duration(w.random.IntN(800)) * time.Millisecond)
		h.start(w.t)
	case 1: // loss of power: the clock starts elsewhere
		h.stop()
		h.clock = &testClock{
			boot: fmt.Sprint("b", w.random.IntN(1000)),
			base: time.Now().Add(-time.Duration(w.random.IntN(1000)) * time.Second),
		}
		h.start(w.t)
	case 2:
		h.store.UpdateFaults(func(f *lossystore.Faults) { f.Down = !f.Down })
	case 3:
		share, late := w.random.Float64()*0.6, w.random.IntN(2) == 0
		h.store.UpdateFaults(func(f *lossystore.Faults) { f.LossRate, f.DelayLost = share, late })
	case 4:
		h.store.UpdateFaults(func(f *lossystore.Faults) { f.LossRate, f.Down = 0, false })
	case 5:
		w.setPaid(w.paid + 20_000)
	case 6: // planned stop
		ctx, cancel := context.WithTimeout(w.t.Context(), 500*time.Millisecond)
		h.stop()
		time.Sleep(500 * time.Millisecond) // its requests end
		_ = h.book.Close(ctx)              // may fail while the store is down
		cancel()
		h.start(w.t)
	}
}

// Guards against a workspace that spends more than it paid for, over kills, losses
// of power, lost and late answers, outages and top-ups.
func TestNeverOverspent(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, seed, 4)
			for step := range 1200 {
				w.request()
				if step%25 == 24 {
					w.fault()
				}
				time.Sleep(time.Duration(w.random.IntN(40)) * time.Millisecond)
			}
			time.Sleep(time.Second)
			for _, h := range w.hosts {
				h.stop()
			}
			time.Sleep(4 * time.Second)
		})
	}
}

// Plays a calm day that asks for twice the balance: callers get at least 97 in 100
// of it, and a refusal comes at once or within the wait.
func TestBalanceIsUsedUp(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(t, seed, 4)
			for range 260 {
				w.request()
				time.Sleep(30 * time.Millisecond)
			}
			time.Sleep(2 * time.Second)
			consumed, refused := w.totals()
			c.Assert(consumed*100 >= w.paid*94, qt.IsTrue, qt.Commentf("%d of %d", consumed, w.paid))
			c.Assert(refused > 0, qt.IsTrue)
			for _, h := range w.hosts {
				h.stop()
			}
			time.Sleep(time.Second)
		})
	}
}

// Plays a cut of all holders from the store for 8 s while a tenth of the budget is
// spent: callers notice nothing.
func TestShareBearsAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWorld(t, 7, 4)
		w.setPaid(20_000_000)
		play := func(seconds int) {
			for range seconds * 20 {
				w.request()
				time.Sleep(50 * time.Millisecond)
			}
		}
		play(6)
		_, before := w.totals()
		for _, h := range w.hosts {
			h.store.UpdateFaults(func(f *lossystore.Faults) { f.Down = true })
		}
		play(8)
		_, after := w.totals()
		c.Assert(after-before, qt.Equals, 0)
		for _, h := range w.hosts {
			h.stop()
		}
		time.Sleep(2 * time.Second)
	})
}

// Plays the kill of all holders: their successors take back what cannot have been
// spent since the last write.
func TestSuccessorTakesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWorld(t, 3, 4)
		w.setPaid(4_000_000)
		for range 200 {
			w.request()
			time.Sleep(25 * time.Millisecond)
		}
		for _, h := range w.hosts {
			h.stop()
		}
		time.Sleep(700 * time.Millisecond)
		for _, h := range w.hosts {
			h.start(t)
		}
		time.Sleep(closeSpread + time.Second)
		raw, err := w.hosts[0].store.Get(t.Context(), "a/account/ws")
		c.Assert(err, qt.IsNil)
		account, err := DecodeQuotaRecord(raw.Value)
		c.Assert(err, qt.IsNil)
		consumed, _ := w.totals()
		c.Assert(account.Closed >= consumed, qt.IsTrue, qt.Commentf("closed %d, consumed %d", account.Closed, consumed))
		lost := account.Closed - consumed
		c.Assert(lost < w.paid/8, qt.IsTrue, qt.Commentf("%d of %d lost", lost, w.paid))
		for _, h := range w.hosts {
			h.stop()
		}
		time.Sleep(time.Second)
	})
}

// Plays a workspace whose callers are all at one holder and whose requests reserve
// much more than they use, for long: nothing is refused while the balance lasts.
func TestOneGateUsesTheWholeBalance(t *testing.T) {
	const paid, bound, used, requests = 3_000_000, 6000, 1500, 700
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWorld(t, 5, 4)
		w.setPaid(paid)
		book := w.hosts[0].book
		var refused atomic.Int32
		for range requests {
			go func() {
				r, err := book.Reserve(t.Context(), w.claim(bound))
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
		for _, h := range w.hosts {
			h.stop()
		}
		time.Sleep(time.Second)
	})
}

// Plays the restart of a whole fleet of 40 holders whose callers all come back at
// once to one workspace: 1.5 s later nobody is refused any more.
func TestFleetRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWorld(t, 11, 40)
		w.setPaid(40_000_000)
		play := func(requests int) {
			for range requests {
				w.request()
				time.Sleep(5 * time.Millisecond)
			}
		}
		play(400)
		for _, h := range w.hosts {
			h.stop()
		}
		time.Sleep(800 * time.Millisecond)
		for _, h := range w.hosts {
			h.start(t)
		}
		play(300)
		time.Sleep(maxWait)
		_, before := w.totals()
		play(600)
		time.Sleep(time.Second)
		_, after := w.totals()
		c.Assert(after-before <= 6, qt.IsTrue, qt.Commentf("%d of 600 refused", after-before))
		for _, h := range w.hosts {
			h.stop()
		}
		time.Sleep(4 * time.Second)
	})
}

// Guards against a share that stays with a holder that no request asks any more: the
// next holder of the workspace gets at the whole balance.
func TestIdleShareIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWorld(t, 13, 2)
		w.setPaid(300_000)
		spend := func(book *Manager, times int) (spent Tokens) {
			for range times {
				r, err := book.Reserve(t.Context(), w.claim(3000))
				if err != nil {
					break
				}
				r.Settle(3000)
				spent += 3000
				time.Sleep(100 * time.Millisecond)
			}
			return spent
		}
		first := spend(w.hosts[0].book, 50)
		c.Check(first, qt.Equals, Tokens(150_000))
		time.Sleep(5 * time.Second)
		second := spend(w.hosts[1].book, 100)
		c.Check(second, qt.Equals, Tokens(150_000))
		for _, h := range w.hosts {
			h.stop()
		}
		time.Sleep(time.Second)
	})
}

// Plays the kill of a holder with a steady demand: what its successor cannot tell from
// spent is at most three seconds of the demand.
func TestKillLosesLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWorld(t, 17, 1)
		const demand = 100_000 // tokens a second
		w.setPaid(100 * demand)
		h := w.hosts[0]
		spent := Tokens(0)
		for range 1000 {
			r, err := h.book.Reserve(t.Context(), w.claim(demand/100))
			if !c.Check(err, qt.IsNil) {
				break
			}
			r.Settle(demand / 100)
			spent += demand / 100
			time.Sleep(10 * time.Millisecond)
		}
		h.stop()
		time.Sleep(500 * time.Millisecond)
		h.start(t)
		time.Sleep(closeSpread + time.Second)
		raw, err := h.store.Get(t.Context(), "a/account/ws")
		c.Check(err, qt.IsNil)
		account, err := DecodeQuotaRecord(raw.Value)
		c.Check(err, qt.IsNil)
		lost := account.Closed - spent
		c.Check(lost >= 0 && lost <= 3*demand, qt.IsTrue, qt.Commentf("%d lost", lost))
		h.stop()
		time.Sleep(time.Second)
	})
}
