package syncer

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/internal/config"
)

// randomFaults runs ten minutes of random changes and faults, then clears all faults
// and checks that all nodes reach the newest version.
func (c *cluster) randomFaults(seed uint64) {
	c.addNodes(3, 2)
	c.startAll()
	random := rand.New(rand.NewPCG(seed, seed))
	all := make([]*node, 0, len(c.nodes))
	for _, n := range c.nodes {
		all = append(all, n)
	}
	slices.SortFunc(all, func(a, b *node) int { return cmp.Compare(a.host.Name, b.host.Name) })
	randomNode := func() *node { return all[random.IntN(len(all))] }
	done := make(chan struct{})
	var checkers sync.WaitGroup
	for _, n := range all {
		checkers.Go(func() { c.checkMonotonic(n, done) })
	}
	for range 600 {
		switch n := randomNode(); random.IntN(10) {
		case 0, 1:
			c.changeRandomly(random)
		case 2:
			c.setPartitioned(n, randomNode(), random.IntN(3) > 0)
		case 3:
			n.store.SetDown(random.IntN(2) > 0)
		case 4:
			n.store.SetWatchesStalled(random.IntN(2) > 0)
		case 5:
			n.store.SetDelay(time.Duration(random.IntN(2000)) * time.Millisecond)
		case 6:
			c.list.SetDown(random.IntN(2) > 0)
		case 7:
			if n.alive {
				c.kill(n)
			} else {
				c.start(n)
			}
		case 8:
			c.mem.Compact(c.mem.Revision())
		}
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
	}
	close(done)
	checkers.Wait()
	c.clearFaults(all)
	head, err := c.mem.Get(context.Background(), config.HeadKey)
	c.Assert(err, qt.IsNil)
	took := c.waitFor(maxPropagationTime, "the newest version after all faults", func(n *node) bool {
		return n.Config().Version == head.ModRevision && n.Status().Synced
	})
	c.Logf("seed %d: version %d at all nodes %v after the last fault", seed, head.ModRevision, took)
	for version, limit := range c.limits {
		for shown, name := range c.shown[version] {
			c.Check(shown, qt.Equals, limit, qt.Commentf("version %d at %s", version, name))
		}
	}
	current := c.snapshot()
	c.eachAlive(func(n *node) { c.Assert(config.Diff(n.Config(), current), qt.HasLen, 0) })
}

func (c *cluster) snapshot() *config.Snapshot {
	read, err := c.mem.List(context.Background(), config.Prefix)
	c.Assert(err, qt.IsNil)
	snapshot, err := config.Load(read.Entries)
	c.Assert(err, qt.IsNil)
	return snapshot
}

// changeRandomly writes two entries with the same limit, or deletes both, in one
// change. The store may lose the reply.
func (c *cluster) changeRandomly(random *rand.Rand) {
	c.operator.DropResponses(random.IntN(2))
	value := config.Workspace{HomeRegion: "near", MaxConcurrent: 1 + random.IntN(1000), RequestsPerSecond: 1}
	remove := random.IntN(4) == 0
	var writes []config.EntryWrite
	for _, name := range []string{"w", "x"} {
		value.Name = name
		write, err := config.NewPut(config.SectionWorkspace, name, value)
		c.Assert(err, qt.IsNil)
		if remove {
			write = config.EntryWrite{Section: config.SectionWorkspace, Name: name, Delete: true}
		}
		writes = append(writes, write)
	}
	version, err := config.Apply(context.Background(), c.operator, c.snapshot().Version, writes, "")
	c.Assert(err, qt.IsNil)
	if c.limits[version] = value.MaxConcurrent; remove {
		c.limits[version] = 0
	}
}

// recordShown records the limit that a node's view has in a version.
func (c *cluster) recordShown(n *node, snapshot *config.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shown[snapshot.Version] == nil {
		c.shown[snapshot.Version] = make(map[int]string)
	}
	c.shown[snapshot.Version][snapshot.Workspaces["w"].MaxConcurrent] = n.host.Name
}

// checkMonotonic checks after each change of a node's view that the version has not
// decreased since the node started, and that no change is shown partially.
func (c *cluster) checkMonotonic(n *node, done <-chan struct{}) {
	var last int64
	var previous *Syncer
	for {
		c.mu.Lock()
		current := n.Syncer
		c.mu.Unlock()
		changed := current.Changed()
		snapshot := current.Config()
		if current != previous {
			previous, last = current, 0
		}
		c.Check(snapshot.Version >= last, qt.IsTrue, qt.Commentf("%s went from %d to %d", n.host.Name, last, snapshot.Version))
		c.Check(snapshot.Workspaces["w"].MaxConcurrent, qt.Equals, snapshot.Workspaces["x"].MaxConcurrent)
		last = snapshot.Version
		c.recordShown(n, snapshot)
		select {
		case <-changed:
		case <-time.After(time.Second): // the node may have been restarted
		case <-done:
			return
		}
	}
}

func (c *cluster) clearFaults(all []*node) {
	c.list.SetDown(false)
	c.mu.Lock()
	clear(c.partitioned)
	c.mu.Unlock()
	for _, n := range all {
		n.store.SetDown(false)
		n.store.SetWatchesStalled(false)
		n.store.SetDelay(0)
		if !n.alive {
			c.start(n)
		}
	}
}
