package main

import (
	"net/http"
	"sync"
	"time"
)

// restTime is the Retry-After of a server that has just started, firstReport the time from its start
// to its first entry in the store, and restingFor how long it turns requests away.
const (
	restTime    = 5 * time.Second
	firstReport = time.Second
	restingFor  = 900 * time.Millisecond
)

// rests follows the rests that a server has asked for, by gate.
type rests struct {
	mu    sync.Mutex
	since map[int]time.Duration
	// late counts, by gate, the requests that reached the server between half a second after its
	// refusal and the end of the rest.
	late map[int]int
}

func init() {
	// A plain server crashes and starts again under its id. It wants a rest until it is warm.
	cases["rest-restart"] = func(d *deployment, trouble bool) bool {
		x := &rests{since: map[int]time.Duration{}, late: map[int]int{}}
		d.configure(map[string]int64{"huka270": 1 << 40, "wuny96": 1 << 40})
		d.start(4, 4, 2)
		s := d.servers[len(d.servers)-1]
		var gates sync.Map // the gate of a request, by its id
		var restarted time.Time
		s.handle = func(s *server, w http.ResponseWriter, r *http.Request) bool {
			n, _ := gates.Load(r.Header.Get("X-Monsoonworks-Attempt-Id"))
			gate, _ := n.(int)
			x.mu.Lock()
			defer x.mu.Unlock()
			now := d.rec.now()
			if since, ok := x.since[gate]; ok && now > since+500*time.Millisecond && now < since+restTime {
				x.late[gate]++
			}
			s.mu.Lock()
			resting := !restarted.IsZero() && time.Since(restarted) < restingFor
			s.mu.Unlock()
			if !resting {
				return false
			}
			if _, ok := x.since[gate]; !ok {
				x.since[gate] = now
			}
			d.rec.add("rest", "%s turns a request of gate %d away for %v", s.id, gate, restTime)
			w.Header().Set("X-Monsoonworks-Not-Executed", "1")
			w.Header().Set("Retry-After", "5")
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
		stop := make(chan struct{})
		var group sync.WaitGroup
		group.Go(func() {
			ticker := time.NewTicker(20 * time.Millisecond)
			defer ticker.Stop()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				q := request{id: newID(), kind: "order", path: "/2f", body: "milk", tenant: "huka270", gate: i % len(d.gates)}
				if i%8 >= 4 {
					q.kind, q.method, q.body = "read", http.MethodGet, ""
				}
				gates.Store(q.id, q.gate)
				group.Go(func() { d.sendSound(q) })
			}
		})
		time.Sleep(5 * time.Second)
		if trouble {
			s.crashAndReturn(2*time.Second, firstReport, func() { restarted = time.Now() })
		} else {
			s.mu.Lock()
			restarted = time.Now() // it wants a rest, but has not been restarted
			s.mu.Unlock()
		}
		time.Sleep(9 * time.Second)
		close(stop)
		group.Wait()
		x.mu.Lock()
		defer x.mu.Unlock()
		held := true
		for gate := range d.gates {
			since, ok := x.since[gate]
			d.rec.say("gate %d: 503 with Retry-After: 5 at %.2f s (%v); %d requests reached the server from 0.5 s after it to the end of the rest (2 are allowed)",
				gate, since.Seconds(), ok, x.late[gate])
			held = held && x.late[gate] <= 2
		}
		return held
	}
}

// crashAndReturn ends the lifetime of a server and starts it again under its id. The first entry of
// the new lifetime is written some time after its start.
func (s *server) crashAndReturn(down, report time.Duration, started func()) {
	s.mu.Lock()
	id := s.id
	s.up = false
	stop := s.stop
	h := s.http
	s.mu.Unlock()
	s.d.rec.add("server", "%s %s (%s) crashes", s.service, s.ip, id)
	stop <- struct{}{} // ends the reports, without the removal of the entry
	_ = h.Close()
	time.Sleep(down)
	s.mu.Lock()
	started()
	s.mu.Unlock()
	s.startAs(id, report)
}
