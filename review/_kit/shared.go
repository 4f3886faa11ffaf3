package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"
)

// begins counts sound requests with the same key and first part, and how many of them began at the
// first attempt.
type begins struct {
	mu                  sync.Mutex
	before, beforeBegun int
	during, duringBegun int
	deadlySent          int
	firstDeadly         time.Duration
}

func init() {
	cases["part-shared"] = func(d *deployment, trouble bool) bool {
		const (
			soundInterval  = 1600 * time.Millisecond
			deadlyInterval = 300 * time.Millisecond
			baseline       = 22
			rounds         = 52
		)
		// phase is the time from a sound request to the first deadly one. PHASE_MS is for trials only.
		phase := 50 * time.Millisecond
		if ms, err := strconv.Atoi(os.Getenv("PHASE_MS")); err == nil {
			phase = time.Duration(ms) * time.Millisecond
		}
		x, b := &deadly{}, &begins{}
		d.configure(map[string]int64{"huka270": 1 << 40, "wuny96": 1 << 40})
		d.start(4, 8, 2)
		x.crashOnPart(d, trouble, 0)
		stop := make(chan struct{})
		var group sync.WaitGroup
		for n := range rounds {
			group.Go(func() {
				sentAt := d.rec.now()
				a := d.sendSound(request{
					kind: "draft", path: "/2f", tenant: "huka270", gate: n % len(d.gates),
					parts: fmt.Sprintf("5c1e07a2:800,51510000:410,%s:250", newID()[:8]), tokens: "1460,30",
				})
				b.count(x, sentAt, n < baseline, a.events > 0)
			})
			if n == baseline {
				group.Go(func() {
					time.Sleep(phase)
					d.sendDeadly(stop, deadlyInterval, b)
				})
			}
			time.Sleep(soundInterval)
		}
		close(stop)
		group.Wait()
		return b.check(d, x)
	}
}

// sendDeadly sends requests with the deadly part that share their key and their other parts with
// the sound ones, until stop is closed.
func (d *deployment) sendDeadly(stop <-chan struct{}, interval time.Duration, b *begins) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		b.mu.Lock()
		if b.deadlySent++; b.deadlySent == 1 {
			b.firstDeadly = d.rec.now()
		}
		b.mu.Unlock()
		group.Go(func() {
			d.send(request{
				kind: "draft", path: "/2f", tenant: "huka270", gate: n % len(d.gates),
				parts: fmt.Sprintf("5c1e07a2:800,%s:300,51510000:410,%s:250", deadlyPart, newID()[:8]), tokens: "1760,30",
			})
		})
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

// count counts a sound request: before the deadly ones, or from 2 x contact after the fifth crash
// on, or after the last one if there are fewer.
func (b *begins) count(x *deadly, sentAt time.Duration, before, begun bool) {
	x.mu.Lock()
	crashes := len(x.crashes)
	last := time.Duration(0)
	if crashes > 0 {
		last = x.crashes[min(crashes, 5)-1]
	}
	x.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	if crashes == 0 {
		last = b.firstDeadly // without the disruption
	}
	switch {
	case before:
		b.before++
		if begun {
			b.beforeBegun++
		}
	case last > 0 && sentAt >= last+2*contact:
		b.during++
		if begun {
			b.duringBegun++
		}
	}
}

// check checks LOST for sound requests that share the key and the first part of deadly ones.
func (b *begins) check(d *deployment, x *deadly) bool {
	d.rec.say("%d crashes; %d deadly requests sent, %d reached a server", len(x.crashes), b.deadlySent, len(x.reached))
	d.rec.say("sound requests that began at the first attempt: %d of %d before, %d of %d from 2 x contact after the fifth crash (the last, if fewer)",
		b.beforeBegun, b.before, b.duringBegun, b.during)
	if b.before < 20 || b.during < 20 {
		cannotRun("the rule needs 20 sound requests of each kind")
	}
	return float64(b.duringBegun)/float64(b.during) >= 0.5*float64(b.beforeBegun)/float64(b.before)
}
