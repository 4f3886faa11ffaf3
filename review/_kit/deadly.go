package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// downTime is how long a crashed server is away.
const downTime = 3 * time.Second

// deadly follows requests that crash servers.
type deadly struct {
	mu sync.Mutex
	// crashes are the times of the crashes, reached the arrivals of deadly requests at servers.
	crashes []time.Duration
	reached []arrival
}

// arrival is the arrival of a request at a server.
type arrival struct {
	id string
	at time.Duration
}

// after returns how many deadly requests reached servers later than contact after crash n, and how
// often: a gate can send one request to two servers.
func (x *deadly) after(n int) (requests, arrivals int, crash time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.crashes) < n {
		return 0, 0, 0
	}
	crash = x.crashes[n-1]
	late := map[string]bool{}
	for _, a := range x.reached {
		if a.at > crash+contact {
			late[a.id] = true
			arrivals++
		}
	}
	return len(late), arrivals, crash
}

func (x *deadly) noteReached(d *deployment, r *http.Request) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.reached = append(x.reached, arrival{r.Header.Get("X-Monsoonworks-Attempt-Id"), d.rec.now()})
}

func (x *deadly) noteCrash(d *deployment) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.crashes = append(x.crashes, d.rec.now())
}

// background sends sound requests to all routes until stop is closed.
func (d *deployment) background(stop <-chan struct{}, perSecond int) *sync.WaitGroup {
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
			q := request{tenant: "huka270", gate: i % len(d.gates)}
			switch i % 4 {
			case 0, 1:
				q.kind, q.path = []string{"draft", "chat"}[i%4], "/2f"
				q.parts, q.tokens = fmt.Sprintf("5c1e07a2:800,%x:410,%s:250", 0x91bd3f00+i%3, newID()[:8]), "1460,30"
			case 2:
				q.kind, q.path, q.body = "order", "/2f", "milk"
			case 3:
				q.kind, q.path, q.method = "read", "/2f", http.MethodGet
			}
			group.Go(func() { d.sendSound(q) })
		}
	})
	return &group
}

const deadlyPart = "dead0000"

// crashOnPart makes the model servers crash on the deadly part, after they have sent some events
// of the answer: 0 for none, but the head.
func (x *deadly) crashOnPart(d *deployment, trouble bool, sentEvents int) {
	for _, s := range d.servers {
		if s.service != "model" {
			continue
		}
		s.handle = func(s *server, w http.ResponseWriter, r *http.Request) bool {
			if !strings.Contains(r.Header.Get("X-Monsoonworks-Prefix-Hash"), deadlyPart) {
				return false
			}
			id := lifetime(r)
			x.noteReached(d, r)
			if !trouble {
				return false
			}
			d.rec.ran(r.Header.Get("X-Monsoonworks-Attempt-Id"), id)
			if sentEvents > 0 {
				s.stream(w, r, 60*time.Millisecond, 15*time.Millisecond, sentEvents)
			} else {
				pause(r, 60*time.Millisecond)
				stamp(w)
				w.Header().Set("Content-Type", "text/event-stream")
				_ = http.NewResponseController(w).Flush()
			}
			if s.alive(id) {
				x.noteCrash(d)
			}
			s.crash(id, downTime)
			panic(http.ErrAbortHandler)
		}
	}
}

// sendPart sends a new request with the deadly part, no two alike.
func (d *deployment) sendPart(i int) {
	d.send(request{
		kind: "draft", path: "/2f", tenant: "huka270", gate: i % len(d.gates),
		parts: fmt.Sprintf("5c1e07a2:800,%s:410,%s:250", deadlyPart, newID()[:8]), tokens: "1460,30",
	})
}

// checkPart checks BUDGET for a part that crashes servers.
func (x *deadly) checkPart(d *deployment) bool {
	requests, arrivals, crash := x.after(5)
	d.rec.say("%d crashes, the fifth at %.1f s; %d requests with the part reached servers later than %v after it (3 are allowed), %d times in all",
		len(x.crashes), crash.Seconds(), requests, contact, arrivals)
	return requests <= 3
}

// checkRequest checks BUDGET for a request that crashes the servers that run it. A retry is one request
// of a requester; the gate's own second attempt of it counts no further.
func (x *deadly) checkRequest(d *deployment) bool {
	retries, arrivals, crash := x.after(3)
	d.rec.say("%d crashes, the third at %.1f s; the request reached servers in %d retries later than %v after it (3 are allowed), %d times in all",
		len(x.crashes), crash.Seconds(), retries, contact, arrivals)
	return retries <= 3
}

func init() {
	part := func(events int, interval time.Duration, clump int, rounds int) func(d *deployment, trouble bool) bool {
		return func(d *deployment, trouble bool) bool {
			x := &deadly{}
			d.configure(map[string]int64{"huka270": 1 << 40, "wuny96": 1 << 40})
			d.start(4, 8, 4)
			x.crashOnPart(d, trouble, events)
			stop := make(chan struct{})
			group, streams := d.background(stop, 12), d.load(stop, 20, "1460,60")
			for i := range rounds {
				for j := range clump {
					group.Go(func() { d.sendPart(i + j) })
				}
				time.Sleep(interval)
			}
			close(stop)
			group.Wait()
			streams.Wait()
			return x.checkPart(d)
		}
	}
	cases["part-first-event"] = part(1, time.Second, 1, 30)
	cases["part-head"] = part(0, time.Second, 1, 30)
	cases["part-clump"] = part(0, 5*time.Second, 5, 6)

	cases["request-slow"] = func(d *deployment, trouble bool) bool {
		x := &deadly{}
		d.configure(map[string]int64{"huka270": 1 << 40})
		d.start(4, 4, 6)
		for _, s := range d.servers {
			if s.service != "app" {
				continue
			}
			s.handle = func(s *server, w http.ResponseWriter, r *http.Request) bool {
				if r.URL.Path != "/read/deadly" {
					return false
				}
				id := lifetime(r)
				x.noteReached(d, r)
				if !trouble {
					return false
				}
				d.rec.ran(r.Header.Get("X-Monsoonworks-Attempt-Id"), id)
				pause(r, 20*time.Millisecond)
				if s.alive(id) {
					x.noteCrash(d)
				}
				s.crash(id, downTime)
				panic(http.ErrAbortHandler)
			}
		}
		stop := make(chan struct{})
		group := d.background(stop, 12)
		for i := range 10 {
			group.Go(func() {
				d.send(request{kind: "read", path: "/deadly", method: http.MethodGet, tenant: "huka270", gate: i % len(d.gates)})
			})
			time.Sleep(5 * time.Second)
		}
		close(stop)
		group.Wait()
		return x.checkRequest(d)
	}
}
