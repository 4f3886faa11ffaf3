package holder

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/config"
	"github.com/monsoonworks/monsoonworks/internal/store"
	"github.com/monsoonworks/monsoonworks/internal/store/memstore"
)

// fakePeers is the Directory and RPCClient of a region with two routers. Its holder
// records lag behind the store: it has none. Calls fail, except to the addresses in
// alive.
type fakePeers struct {
	routers []Peer

	mu    sync.Mutex
	alive map[string]budget.Incarnation // by address
}

func (p *fakePeers) stopAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.alive)
}

func (p *fakePeers) Routers(string) []Peer                { return p.routers }
func (p *fakePeers) Agents() []Peer                       { return nil }
func (p *fakePeers) Holder(budget.Account) (Record, bool) { return Record{}, false }

func (p *fakePeers) Call(_ context.Context, address, _ string, _, _ any) (budget.Incarnation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	responder, ok := p.alive[address]
	if !ok {
		return responder, errors.New("connection refused")
	}
	return responder, nil
}

// newTakeoverTest returns the manager of the router that is first in rendezvous
// order, and the other router, which is the holder in the store.
func newTakeoverTest(c *qt.C) (m *Manager, other budget.Incarnation, peers *fakePeers, st store.KV) {
	key := budget.Account{Shard: 0, Region: "r"}
	peers = &fakePeers{
		routers: []Peer{{Name: "a", Address: "a:1"}, {Name: "b", Address: "b:1"}}, alive: map[string]budget.Incarnation{},
	}
	order := candidates(key, peers.routers)
	self := budget.Incarnation{Name: order[0].Name, Boot: uuid.New()}
	other = budget.Incarnation{Name: order[1].Name, Boot: uuid.New()}
	peers.alive[order[1].Address] = other
	st = memstore.New(memstore.Options{})
	m = NewManager(Options{Self: self, Address: order[0].Address, Region: "r", Shards: 1, Store: st, Directory: peers, RPC: peers})
	account, err := budget.TakeOver(key, nil, other).Encode()
	c.Assert(err, qt.IsNil)
	holder, err := json.Marshal(Record{Epoch: 1, Name: other.Name, Address: order[1].Address, Boot: other.Boot})
	c.Assert(err, qt.IsNil)
	_, err = st.Commit(context.Background(), store.Txn{Write: []store.Write{
		{Key: config.HolderKey(key), Value: holder}, {Key: accountKey(key), Value: account},
	}})
	c.Assert(err, qt.IsNil)
	return m, other, peers, st
}

// holderIn returns the name of the holder in the store.
func holderIn(c *qt.C, st store.KV) string {
	entry, err := st.Get(context.Background(), config.HolderKey(budget.Account{Region: "r"}))
	c.Assert(err, qt.IsNil)
	var record Record
	c.Assert(json.Unmarshal(entry.Value, &record), qt.IsNil)
	return record.Name
}

// Guards against takeovers from a live holder. Routers whose holder records lag
// behind the store would take the account over from each other in turn. Each takeover
// stops the account for a while, and afterwards it is unknown whether some idempotency
// keys were used.
func TestNoTakeoverFromLiveHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m, other, peers, st := newTakeoverTest(c)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); _ = m.Run(ctx) }()
		m.requestTakeover(budget.Account{Region: "r"})
		time.Sleep(2 * deadAfter)
		c.Assert(holderIn(c, st), qt.Equals, other.Name)

		// A holder that was alive just now and stops replying is replaced after
		// deadAfter.
		m.live.markAlive(other)
		peers.stopAll()
		m.requestTakeover(budget.Account{Region: "r"})
		time.Sleep(deadAfter + time.Second)
		c.Assert(holderIn(c, st), qt.Equals, m.opts.Self.Name)
		cancel()
		<-done
	})
}
