package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// load sends sound streams until stop is closed, each with parts of its own, so that they spread
// over the servers. Every second one may not be resumed.
func (d *deployment) load(stop <-chan struct{}, perSecond int, tokens string) *sync.WaitGroup {
	var group sync.WaitGroup
	group.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			group.Go(func() {
				d.sendSound(request{
					kind: []string{"draft", "chat"}[i/len(d.gates)%2], path: "/2f", tenant: "wuny96", gate: i % len(d.gates),
					parts: fmt.Sprintf("5c1e07a2:800,%s:410,%s:250", newID()[:8], newID()[:8]), tokens: tokens,
				})
			})
		}
	})
	return &group
}

func init() {
	// A request crashes each server that begins to run it, before the head of its answer. The
	// servers send the head of an answer when they take a request, and the first event after the
	// prompt is read.
	cases["request-early-head"] = func(d *deployment, trouble bool) bool {
		const prefill = 400 * time.Millisecond
		x := &deadly{}
		d.configure(map[string]int64{"huka270": 1 << 40, "wuny96": 1 << 40})
		d.start(4, 8, 2)
		for _, s := range d.servers {
			if s.service != "model" {
				continue
			}
			s.handle = func(s *server, w http.ResponseWriter, r *http.Request) bool {
				id := lifetime(r)
				if r.URL.Path == "/draft/deadly" {
					x.noteReached(d, r)
					if trouble {
						d.rec.ran(r.Header.Get("X-Monsoonworks-Attempt-Id"), id)
						if s.alive(id) {
							x.noteCrash(d)
						}
						s.crash(id, downTime)
						panic(http.ErrAbortHandler)
					}
				}
				d.rec.ran(r.Header.Get("X-Monsoonworks-Attempt-Id"), id)
				stamp(w)
				w.Header().Set("Content-Type", "text/event-stream")
				if http.NewResponseController(w).Flush() != nil {
					return true
				}
				s.stream(w, r, prefill, 15*time.Millisecond, 1<<30)
				return true
			}
		}
		stop := make(chan struct{})
		group := d.load(stop, 40, "1460,12")
		for i := range 30 {
			group.Go(func() {
				d.send(request{
					kind: "draft", path: "/deadly", tenant: "huka270", gate: i % len(d.gates), body: "the same prompt",
					parts: "5c1e07a2:800,91bd3f06:410,e4402b7d:250", tokens: "1460,12",
				})
			})
			time.Sleep(time.Second)
		}
		close(stop)
		group.Wait()
		return x.checkRequest(d)
	}

	// The deadly part is one of many of a long prompt.
	cases["part-deep"] = func(d *deployment, trouble bool) bool {
		x := &deadly{}
		d.configure(map[string]int64{"huka270": 1 << 40, "wuny96": 1 << 40})
		d.start(4, 8, 4)
		x.crashOnPart(d, trouble, 0)
		stop := make(chan struct{})
		group, streams := d.background(stop, 12), d.load(stop, 20, "1460,60")
		for i := range 30 {
			var turns []string
			for n := range 40 {
				turns = append(turns, fmt.Sprintf("%x:30", 0x77000000+n))
			}
			sound := strings.Join(turns, ",") + "," + newID()[:8] + ":250"
			turns[35] = deadlyPart + ":30"
			deadly := strings.Join(turns, ",") + "," + newID()[:8] + ":250"
			q := request{kind: "draft", path: "/2f", tenant: "huka270", gate: i % len(d.gates), parts: sound, tokens: "1450,30"}
			bad := q
			bad.parts = deadly
			group.Go(func() { d.sendSound(q) })
			group.Go(func() { d.send(bad) })
			time.Sleep(time.Second)
		}
		close(stop)
		group.Wait()
		streams.Wait()
		return x.checkPart(d)
	}
}
