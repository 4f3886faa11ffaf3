package faults

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

const script = `seed: 3
faults:
  - {at: 4s, action: heal-regions}
  - {at: 1s, action: kill, target: any-router}
  - {at: 2s, action: partition-regions}
  - {at: 2500ms, action: drain, target: any-agent}
  - {at: 3s, action: start, target: any-router}
  - {at: 3s, action: store-delay, target: 200ms}
  - {at: 3s, action: freeze, target: regions}
  - {at: 5s, action: top-up, target: "w0:500"}
  - {at: 6s, action: crash-engine, target: gone}
`

// recorder records the actions with their offsets.
type recorder struct {
	started time.Time
	mu      sync.Mutex
	calls   []string
}

func (r *recorder) record(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, fmt.Sprintf("%s ", time.Since(r.started))+fmt.Sprintf(format, args...))
}

func (r *recorder) Kill(name string) error                     { r.record("kill %s", name); return nil }
func (r *recorder) Start(name string) error                    { r.record("start %s", name); return nil }
func (r *recorder) Drain(_ context.Context, name string) error { time.Sleep(time.Minute); return nil }
func (r *recorder) PartitionRegions(on bool)                   { r.record("partition %t", on) }
func (r *recorder) FreezeRegions()                             { r.record("freeze regions") }
func (r *recorder) FreezeCallers(router string) error          { r.record("freeze %s", router); return nil }
func (r *recorder) StoreDown(on bool)                          { r.record("store down %t", on) }
func (r *recorder) StoreDelay(d time.Duration)                 { r.record("store delay %s", d) }
func (r *recorder) StoreDropResponses(n int)                   { r.record("lose %d", n) }
func (r *recorder) CrashEngine(string) error                   { return errors.New("no such process") }
func (r *recorder) TopUp(_ context.Context, w, id string, n int64) error {
	r.record("top up %s %s %d", w, id, n)
	return nil
}

// Guards against faults whose time or target deviates from the script and its
// seed, against a long drain that delays later faults, and against a failed step
// that aborts the script.
func TestScript(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, err := Parse([]byte(script))
		c.Assert(err, qt.IsNil)
		names := Names{Routers: []string{"r1", "r2", "r3"}, Agents: []string{"a1", "a2"}}
		steps := s.Resolve(names)
		c.Assert(steps, qt.DeepEquals, s.Resolve(names))
		killed := steps[0].Target
		c.Assert(slices.Contains(names.Routers, killed), qt.IsTrue)
		r := &recorder{started: time.Now()}
		done := Run(context.Background(), r, steps, r.started)
		c.Assert(r.calls, qt.DeepEquals, []string{
			"1s kill " + killed, "2s partition true", "3s start " + killed, "3s store delay 200ms", "3s freeze regions",
			"4s partition false", "5s top up w0 fault-7 500",
		})
		c.Assert(done, qt.HasLen, len(steps))
		c.Assert(done[len(done)-2].Err, qt.Equals, "no such process")
		c.Assert(done[len(done)-1].At, qt.Equals, 62500*time.Millisecond)
	})
}

// Guards against invalid scripts that are accepted and silently do nothing.
func TestInvalidScripts(t *testing.T) {
	for _, text := range []string{
		"faults: [{at: 1s, action: explode}]", "faults: [{at: -1s, action: kill}]", "faults: [{when: 1s, action: kill}]", "fault: []",
	} {
		_, err := Parse([]byte(text))
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", text))
	}
}
