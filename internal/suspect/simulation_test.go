package suspect

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/store"
	"github.com/monsoonworks/monsoonworks/internal/store/lossystore"
	"github.com/monsoonworks/monsoonworks/internal/store/memstore"
)

var simulationSeeds = flag.Uint64("suspect.seeds", 20, "number of seeds of each setting of the simulation")

const (
	simulationTime = 40 * time.Second
	// contactTime is the time within which all gates must know of the fifth crash, or the third of a request.
	contactTime = 4 * time.Second
	// maxLatePoison is the number of poison requests that may reach servers after that.
	maxLatePoison = 3
	simServers    = 40
	fewServers    = 12
	serverRestart = 3 * time.Second
	// answerBeginning is how long the beginning of an answer lasts, from its first event.
	answerBeginning = 500 * time.Millisecond
)

// setting is a kind of day.
type setting struct {
	gates int
	// deadly is the index of the part that crashes servers.
	deadly int
	// afterEvent crashes servers after the first event of an answer, not after its head.
	afterEvent bool
	// earlyHeads makes few, busy servers send the head of an answer long before its first event, and
	// crashes them before the head. repeated makes all poison requests the same one.
	earlyHeads, repeated bool
	// burst crashes six servers at a time without a cause, restart ends all gates at a random
	// moment, silence makes the store silent for 5 s. outage crashes all servers within a
	// second, on a day without poison requests.
	burst, restart, silence, outage bool
}

// servers returns the number of servers.
func (s setting) servers() int {
	if s.earlyHeads {
		return fewServers
	}
	return simServers
}

// crashesToKnow is the number of crashes after which the users' bounds begin.
func (s setting) crashesToKnow() int {
	if s.repeated {
		return 3
	}
	return 5
}

// simRequest is a request in progress at a server.
type simRequest struct {
	gate         *simGate
	fingerprints []uint64
	head, event  bool
	eventAt      time.Time // of the first event
	lost         chan struct{}
}

type simServer struct {
	name     string
	lifetime int
	down     bool
	running  map[*simRequest]bool
}

type simGate struct {
	shared *Shared
	stop   context.CancelFunc
	// skew is the error of the host's clock.
	skew time.Duration
}

// simulation is a fleet. Crash reports and answers go through its gates.
type simulation struct {
	setting setting
	seed    uint64
	mem     *memstore.Store
	start   time.Time

	mu      sync.Mutex
	random  *rand.Rand
	gates   []*simGate
	servers []*simServer
	silent  bool
	quietAt time.Time // end of the last silence
	nextID  uint64
	// crashes counts those by poison requests; knownAt is the time of the one from which on the
	// bounds apply, or of the last if there are fewer.
	crashes int
	knownAt time.Time
	// latePoison counts the poison requests that reached servers too late.
	latePoison int
	sound      map[string]*soundCount
}

// soundCount counts the first attempts of sound requests after that crash.
type soundCount struct{ sent, refused int }

func newSimulation(t *testing.T, s setting, seed uint64) *simulation {
	sim := &simulation{
		setting: s, seed: seed, mem: memstore.New(memstore.Options{}), start: time.Now(),
		random: rand.New(rand.NewPCG(seed, uint64(s.gates))), sound: map[string]*soundCount{},
	}
	for i := range s.servers() {
		sim.servers = append(sim.servers, &simServer{name: fmt.Sprint("s", i), running: map[*simRequest]bool{}})
	}
	for i := range s.gates {
		sim.gates = append(sim.gates, sim.startGate(t, uint64(i)))
	}
	return sim
}

func (s *simulation) startGate(t *testing.T, number uint64) *simGate {
	ctx, cancel := context.WithCancel(t.Context())
	conn := &simStore{lossystore.New(s.mem, s.seed, s.draw(1<<30)+number), s}
	conn.UpdateFaults(func(f *lossystore.Faults) { f.LossRate, f.DelayLost = 0.05, number%2 == 0 })
	g := &simGate{stop: cancel, skew: time.Duration(s.draw(400)) * time.Millisecond, shared: NewShared(SharedOptions{
		Key: "suspects", Store: conn, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: metrics.NewRegistry(),
	})}
	if number == 0 {
		g.skew = -2 * time.Hour
	}
	g.shared.Apply(s.read()) // a gate is ready once its mirror has listed the keys
	go func() { _ = g.shared.Run(ctx) }()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(time.Duration(s.draw(uint64(time.Second))))
			if !s.isSilent() {
				g.shared.Apply(s.read())
			}
		}
	}()
	return g
}

func (s *simulation) read() (store.Entry, bool) {
	entry, _ := s.mem.Get(context.Background(), "suspects")
	return entry, entry.ModRevision > 0
}

func (s *simulation) draw(n uint64) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Uint64N(n)
}

func (s *simulation) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// late reports whether the bounds apply now. The caller holds s.mu.
func (s *simulation) late() bool {
	now := time.Now()
	return !s.knownAt.IsZero() && now.Sub(s.knownAt) > contactTime && !s.silent && now.Sub(s.quietAt) > contactTime
}

// parts returns the fingerprints of a request: three parts and the whole request.
func (s *simulation) parts(first, second, third uint64) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	return []uint64{first, second, third, 1<<40 + s.nextID}
}

// poison returns the fingerprints of a poison request. Parts after the deadly one are chosen
// from three.
func (s *simulation) poison() []uint64 {
	parts := s.parts(1, 20, 300)
	if s.setting.repeated {
		parts[3] = 1 << 40
	}
	for i := s.setting.deadly + 1; i < 3; i++ {
		parts[i] += s.draw(3)
	}
	return parts
}

// send passes a request on to a server and reports whether it was refused, and whether the
// server was lost.
func (s *simulation) send(ctx context.Context, g *simGate, fingerprints []uint64, poison bool) (refused, lost bool) {
	if g.shared.Check(ctx, fingerprints) != nil {
		return true, false
	}
	r := &simRequest{gate: g, fingerprints: fingerprints, lost: make(chan struct{})}
	server := s.enqueue(r, poison)
	if server == nil {
		return false, false
	}
	defer s.finish(server, r)
	if s.begin(server, r, poison) {
		return false, true
	}
	length := s.draw(2000)
	beginning := min(length, uint64(answerBeginning.Milliseconds()))
	if s.wait(r, beginning) {
		return false, true
	}
	g.shared.ReportSound(fingerprints)
	return false, s.wait(r, length-beginning)
}

// begin passes a request on until its first event and reports whether the server was lost.
func (s *simulation) begin(server *simServer, r *simRequest, poison bool) (lost bool) {
	headAfter, eventAfter := 50+s.draw(250), 5+s.draw(40)
	if s.setting.earlyHeads {
		headAfter, eventAfter = s.draw(5), 300+s.draw(200)
	}
	crashes := func(now bool) bool {
		if poison && now {
			s.crash(server, true)
		}
		return poison && now
	}
	if s.wait(r, headAfter) || crashes(s.setting.earlyHeads) {
		return true
	}
	s.update(func() { r.head = true })
	if s.wait(r, eventAfter) || crashes(!s.setting.afterEvent) {
		return true
	}
	s.update(func() { r.event, r.eventAt = true, time.Now() })
	return crashes(true)
}

// candidate returns a request in progress as a candidate for the crash of its server, as a gate
// reports it; ok is false if it is none. The caller holds s.mu.
func (s *simulation) candidate(r *simRequest) (c Candidate, ok bool) {
	c = Candidate{Fingerprints: r.fingerprints, Begun: r.head && !r.event, Answering: r.event}
	return c, !r.event || time.Since(r.eventAt) < answerBeginning
}

// enqueue adds a request to a server that is up.
func (s *simulation) enqueue(r *simRequest, poison bool) *simServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if poison && s.late() {
		s.latePoison++
	}
	for range 20 {
		if server := s.servers[s.random.IntN(len(s.servers))]; !server.down {
			server.running[r] = true
			return server
		}
	}
	return nil
}

func (s *simulation) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *simulation) finish(server *simServer, r *simRequest) {
	s.update(func() { delete(server.running, r) })
}

func (s *simulation) wait(r *simRequest, millis uint64) (lost bool) {
	select {
	case <-r.lost:
		return true
	case <-time.After(time.Duration(millis) * time.Millisecond):
		return false
	}
}

// crash ends a server's lifetime. The gates report their requests that were not beyond the
// beginning of their answers.
func (s *simulation) crash(server *simServer, poison bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if server.down {
		return
	}
	if poison {
		if s.crashes++; s.crashes <= s.setting.crashesToKnow() {
			s.knownAt, s.latePoison = time.Now(), 0
			clear(s.sound)
		}
	}
	id := fmt.Sprintf("%s/%d", server.name, server.lifetime)
	server.down = true
	server.lifetime++
	for r := range server.running {
		close(r.lost)
		if candidate, ok := s.candidate(r); ok {
			delay := time.Duration(s.random.IntN(20)) * time.Millisecond
			time.AfterFunc(delay, func() {
				r.gate.shared.ReportCrash(Crash{ID: id, At: time.Now().Add(r.gate.skew).UnixMilli(), Candidates: []Candidate{candidate}})
			})
		}
	}
	clear(server.running)
	time.AfterFunc(serverRestart, func() { s.update(func() { server.down = false }) })
}

func (s *simulation) gate() *simGate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gates[s.random.IntN(len(s.gates))]
}

// sendPoison sends a poison request that its gate retries once and its caller repeats once.
func (s *simulation) sendPoison(ctx context.Context) {
	fingerprints := s.poison()
	for range 2 {
		g := s.gate()
		if _, lost := s.send(ctx, g, fingerprints, true); lost && s.draw(2) == 0 {
			s.send(ctx, g, fingerprints, true)
		}
		time.Sleep(time.Second)
	}
}

// sendSound sends a sound request with the first part, or the first two, of poison requests
// before the deadly one, and counts it.
func (s *simulation) sendSound(ctx context.Context, kind string, fingerprints []uint64) {
	refused, _ := s.send(ctx, s.gate(), fingerprints, false)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.late() {
		return
	}
	count := s.sound[kind]
	if count == nil {
		count = &soundCount{}
		s.sound[kind] = count
	}
	count.sent++
	if refused {
		count.refused++
	}
}

// run plays a day: poison requests from 4 s on, one in 0.3 to 0.7 s, or in 1.5 to 2.5 s for few servers.
func (s *simulation) run(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	every := func(from time.Duration, low, spread uint64, action func()) {
		go func() {
			time.Sleep(from)
			for ctx.Err() == nil {
				go action()
				time.Sleep(time.Duration(low+s.draw(spread)) * time.Millisecond)
			}
		}()
	}
	switch {
	case s.setting.earlyHeads:
		every(4*time.Second, 1500, 1000, func() { s.sendPoison(ctx) })
	case !s.setting.outage:
		every(4*time.Second, 300, 400, func() { s.sendPoison(ctx) })
	}
	otherLow, otherSpread := uint64(20), uint64(40)
	if s.setting.earlyHeads {
		otherLow, otherSpread = 5, 10
	}
	every(0, otherLow, otherSpread, func() { s.sendSound(ctx, "other", s.parts(9, 90+s.draw(5), 900+s.draw(50))) })
	if s.setting.deadly > 0 {
		every(0, 20, 40, func() { s.sendSound(ctx, "first part", s.parts(1, 30+s.draw(5), 400+s.draw(50))) })
	}
	if s.setting.deadly > 1 {
		every(0, 800, 900, func() { s.sendSound(ctx, "two parts", s.parts(1, 20, 500+s.draw(50))) })
	}
	s.injectFaults(t)
	time.Sleep(simulationTime - time.Since(s.start))
	cancel()
	time.Sleep(10 * time.Second)
	for _, g := range s.gates {
		g.stop()
	}
	time.Sleep(3 * time.Second)
}

func (s *simulation) injectFaults(t *testing.T) {
	if s.setting.outage {
		time.Sleep(10 * time.Second)
		s.update(func() { s.knownAt = time.Now() })
		for _, server := range s.servers {
			s.crash(server, false)
			time.Sleep(20 * time.Millisecond)
		}
	}
	if s.setting.burst {
		for _, at := range []time.Duration{2, 5, 16} {
			time.Sleep(at*time.Second - time.Since(s.start))
			for _, server := range s.servers[:6] {
				s.crash(server, false)
			}
		}
	}
	if s.setting.silence {
		time.Sleep(time.Duration(4000+s.draw(4000))*time.Millisecond - time.Since(s.start))
		s.update(func() { s.silent = true })
		time.Sleep(5 * time.Second)
		s.update(func() { s.silent, s.quietAt = false, time.Now() })
	}
	if s.setting.restart {
		time.Sleep(time.Duration(4500+s.draw(9000))*time.Millisecond - time.Since(s.start))
		for i, g := range s.gates {
			g.stop()
			next := s.startGate(t, uint64(i))
			s.update(func() { s.gates[i] = next })
		}
	}
}

// check returns an error if a bound was exceeded.
func (s *simulation) check() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashes < DefaultPolicy().BegunCrashes && !s.setting.outage {
		return fmt.Errorf("only %d crashes, the bounds were not tested", s.crashes)
	}
	if s.latePoison > maxLatePoison {
		return fmt.Errorf("%d poison requests reached servers too late, of %d crashes", s.latePoison, s.crashes)
	}
	for kind, count := range s.sound {
		if count.sent >= 20 && 2*count.refused > count.sent {
			return fmt.Errorf("%d of %d sound requests refused (%s)", count.refused, count.sent, kind)
		}
	}
	return nil
}

// Guards against poison requests that reach servers late, and against sound requests that are
// refused with them.
func TestPoisonIsStopped(t *testing.T) {
	for _, gates := range []int{4, 28, 68} {
		for name, s := range map[string]setting{
			"third part": {deadly: 2}, "second part": {deadly: 1}, "first part": {deadly: 0},
			"after an event": {deadly: 2, afterEvent: true}, "servers crash together": {deadly: 2, burst: true}, "all restart": {deadly: 2, restart: true},
			"store silent": {deadly: 2, silence: true}, "outage": {deadly: 2, outage: true},
			"part before early heads": {deadly: 2, earlyHeads: true}, "request before early heads": {deadly: 2, earlyHeads: true, repeated: true},
		} {
			s.gates = gates
			t.Run(fmt.Sprintf("%d/%s", gates, name), func(t *testing.T) {
				worst, crashes, refused := 0, 0, 0
				for seed := range *simulationSeeds {
					synctest.Test(t, func(t *testing.T) {
						sim := newSimulation(t, s, seed)
						sim.run(t)
						qt.Check(t, sim.check(), qt.IsNil, qt.Commentf("seed %d", seed))
						sim.update(func() {
							worst, crashes = max(worst, sim.latePoison), max(crashes, sim.crashes)
							for _, count := range sim.sound {
								refused = max(refused, 100*count.refused/count.sent)
							}
						})
					})
				}
				t.Logf("at most %d late requests, %d crashes, %d%% of a kind refused", worst, crashes, refused)
			})
		}
	}
}
