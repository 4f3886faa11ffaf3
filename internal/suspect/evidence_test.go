package suspect

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/devel/standin/faultstore"
	"github.com/monsoonworks/monsoonworks/internal/store"
	"github.com/monsoonworks/monsoonworks/internal/store/memstore"
	"github.com/monsoonworks/monsoonworks/internal/verdict"
)

// begun and waiting return a candidate.
func begun(fingerprints ...uint64) Candidate {
	return Candidate{Fingerprints: fingerprints, Begun: true}
}
func waiting(fingerprints ...uint64) Candidate {
	return Candidate{Fingerprints: fingerprints}
}
func answering(fingerprints ...uint64) Candidate {
	return Candidate{Fingerprints: fingerprints, Answering: true}
}

// crashesOf returns evidence with one crash a second for each list of candidates.
func crashesOf(crashes ...[]Candidate) Evidence {
	e := Evidence{}
	for i, candidates := range crashes {
		e.addCrash(Crash{ID: fmt.Sprint("s/", i+1), At: int64(i+1) * 1000, Candidates: candidates})
	}
	return e
}

func blockedOf(e Evidence, p Policy) []uint64 {
	d := e.decide(p)
	blocked := []uint64{}
	for f := range uint64(1000) {
		if d.blocked(f) {
			blocked = append(blocked, f)
		}
	}
	return blocked
}

// Guards against the block of a fingerprint that sound requests share, and against a cause that
// is not blocked at once.
func TestMostSpecificCauseIsBlocked(t *testing.T) {
	one := func(c ...Candidate) []Candidate { return c }
	poison := func(own uint64) []Candidate { return one(begun(1, 2, 3, own)) }
	repeat := func(n int, c ...Candidate) (crashes [][]Candidate) {
		for range n {
			crashes = append(crashes, c)
		}
		return crashes
	}
	for _, test := range []struct {
		name    string
		crashes [][]Candidate
		want    []uint64
	}{
		{"two crashes", [][]Candidate{poison(100), poison(101)}, []uint64{}},
		{"three crashes", [][]Candidate{poison(100), poison(101), poison(102)}, []uint64{3}},
		{"one request, then others", [][]Candidate{poison(100), poison(100), poison(100), poison(101), poison(102)}, []uint64{3, 100}},
		{"the second part", [][]Candidate{one(begun(1, 2, 3, 100)), one(begun(1, 2, 4, 101)), one(begun(1, 2, 5, 102))}, []uint64{2}},
		{"an innocent part in the first crashes", [][]Candidate{poison(100), poison(101), poison(102), one(begun(1, 2, 4, 103)), poison(104)}, []uint64{2, 3}},
		{"the first part", [][]Candidate{one(begun(1, 20, 30, 100)), one(begun(1, 21, 30, 101)), one(begun(1, 20, 30, 102)), one(begun(1, 20, 31, 103))}, []uint64{1, 30}},
		{"bystanders whose answers had not begun", repeat(4, begun(1, 2, 3, 100), waiting(7, 8, 101)), []uint64{100}},
		{"a request before the head, beside answers that have begun", [][]Candidate{
			one(begun(7, 200), waiting(1, 2, 100)), one(waiting(1, 2, 100), begun(8, 201)), one(begun(9, 202), waiting(1, 2, 100)),
		}, []uint64{100}},
		{"a part before the head, beside answers that have begun", [][]Candidate{
			one(begun(7, 200), waiting(1, 2, 100)), one(begun(7, 201), waiting(1, 2, 101)), one(begun(8, 202), waiting(1, 2, 102)),
			one(begun(9, 203), waiting(1, 2, 103)), one(begun(10, 204), waiting(1, 2, 104)),
		}, []uint64{2}},
		{"parts of one of several answers that have begun", [][]Candidate{
			one(begun(7, 200), begun(20, 300), waiting(1, 2, 100)), one(begun(7, 201), begun(21, 301), waiting(1, 2, 101)),
			one(begun(7, 202), begun(22, 302), waiting(1, 2, 102)), one(begun(23, 203), begun(24, 303), waiting(1, 2, 103)),
			one(begun(25, 204), begun(26, 304), waiting(1, 2, 104)),
		}, []uint64{2}},
		{"three crashes after an event", [][]Candidate{one(answering(1, 2, 100)), one(answering(1, 2, 101)), one(answering(1, 2, 102))}, []uint64{}},
		{"four crashes after an event", [][]Candidate{one(answering(1, 2, 100)), one(answering(1, 2, 101)), one(answering(1, 2, 102)), one(answering(1, 2, 103))}, []uint64{2}},
		{"after an event, beside others", [][]Candidate{
			one(begun(7, 70, 200), waiting(8, 201), answering(1, 2, 100)), one(answering(1, 2, 101), waiting(8, 202)),
			one(answering(1, 3, 203), answering(1, 2, 102)), one(answering(1, 2, 103)),
		}, []uint64{2}},
		{"bystanders beside an answer that has begun", repeat(5, waiting(7, 8, 101), answering(1, 2, 100)), []uint64{100}},
		{"a request repeated twice", repeat(2, waiting(1, 2, 100)), []uint64{}},
		{"a request repeated three times", repeat(3, waiting(1, 2, 100)), []uint64{100}},
		{"not begun, four crashes", [][]Candidate{one(waiting(1, 2, 100)), one(waiting(1, 2, 101)), one(waiting(1, 2, 102)), one(waiting(1, 2, 103))}, []uint64{}},
		{"not begun, five crashes", [][]Candidate{one(waiting(1, 2, 100)), one(waiting(1, 2, 101)), one(waiting(1, 2, 102)), one(waiting(1, 2, 103)), one(waiting(1, 2, 104))}, []uint64{2}},
		{"a mix", append(repeat(2, waiting(1, 2, 100)), poison(101), poison(102)), []uint64{2}},
		{"explained crashes count against nothing else", append([][]Candidate{poison(100), poison(101), poison(102)}, repeat(9, begun(1, 2, 3, 103))...), []uint64{3}},
	} {
		e := crashesOf(test.crashes...)
		qt.Check(t, blockedOf(e, DefaultPolicy()), qt.DeepEquals, test.want, qt.Commentf("%s", test.name))
	}
}

// Guards against a cause that is left out beside answers that have begun, in whatever order gates report
// them and however many there are.
func TestCauseBesideManyHeadsIsBlocked(t *testing.T) {
	for _, others := range []int{1, maxCandidates, 3 * maxCandidates} {
		for _, causeFirst := range []bool{true, false} {
			e := Evidence{}
			for crash := range 3 {
				reports := []Candidate{}
				for other := range others {
					reports = append(reports, begun(uint64(10_000*(crash+1)+other)))
				}
				if causeFirst {
					reports = append([]Candidate{waiting(1, 2, 100)}, reports...)
				} else {
					reports = append(reports, waiting(1, 2, 100))
				}
				for range 2 {
					for _, c := range reports {
						e.addCrash(Crash{ID: fmt.Sprint("s/", crash), At: int64(crash) * 1000, Candidates: []Candidate{c}})
					}
				}
			}
			qt.Check(t, blockedOf(e, DefaultPolicy()), qt.DeepEquals, []uint64{100}, qt.Commentf("%d others, cause first: %v", others, causeFirst))
		}
	}
}

// Guards against a cause that is never blocked because it is far behind in a long prompt.
func TestCauseInLongPromptIsBlocked(t *testing.T) {
	const deadly = 900
	e := Evidence{}
	for i := range uint64(3) {
		prompt := []uint64{}
		for part := range uint64(1200) {
			prompt = append(prompt, 10_000*(i+1)+part) // parts of this request alone
		}
		prompt[1100] = deadly
		e.addCrash(Crash{ID: fmt.Sprint("s/", i), At: int64(i) * 1000, Candidates: []Candidate{begun(prompt...), begun(prompt[:1000]...)}})
	}
	qt.Assert(t, blockedOf(e, DefaultPolicy()), qt.DeepEquals, []uint64{deadly})
}

// Guards against crashes that count although a request was answered since, and against a cause
// whose end makes its crashes count against other fingerprints.
func TestSoundMarks(t *testing.T) {
	c := qt.New(t)
	e := crashesOf([]Candidate{begun(1, 9)}, []Candidate{begun(1, 8)}, []Candidate{begun(1, 7)})
	c.Assert(blockedOf(e, DefaultPolicy()), qt.DeepEquals, []uint64{1})
	c.Assert(e.addSound(SoundMark{Fingerprint: 1, UpTo: 2}), qt.IsTrue)
	c.Assert(e.addSound(SoundMark{Fingerprint: 1, UpTo: 1}), qt.IsFalse)
	c.Assert(blockedOf(e, DefaultPolicy()), qt.HasLen, 0)

	e = crashesOf([]Candidate{begun(1, 2, 9)}, []Candidate{begun(1, 2, 8)}, []Candidate{begun(1, 2, 7)}, []Candidate{begun(1, 2, 6)})
	e.addSound(SoundMark{Fingerprint: 2, UpTo: 4, ClosedUpTo: 4})
	e.addCrash(Crash{ID: "s/5", At: 9000, Candidates: []Candidate{begun(1, 5)}})
	c.Assert(blockedOf(e, DefaultPolicy()), qt.HasLen, 0)
}

// Guards against servers that crash together and count as several crashes, and against a wrong
// clock that makes crashes count several times or not at all.
func TestCrashesTogetherCountOnce(t *testing.T) {
	for _, test := range []struct {
		name          string
		step, skew    int64 // milliseconds between crashes, and of the clock of every fourth report
		crashes, want int
	}{
		{"together", 10, 0, 40, 0}, {"together, a clock behind", 10, -7_200_000, 40, 0},
		{"apart", 600, 0, 3, 1}, {"apart, a clock behind", 600, -7_200_000, 4, 1}, {"apart, a clock ahead", 600, 7_200_000, 5, 1},
	} {
		e := Evidence{}
		for i := range test.crashes {
			at := int64(10_000_000) + int64(i)*test.step
			if i%4 == 1 {
				at += test.skew
			}
			e.addCrash(Crash{ID: fmt.Sprint(i), At: at, Candidates: []Candidate{begun(1, uint64(100+i))}})
		}
		qt.Check(t, blockedOf(e, DefaultPolicy()), qt.HasLen, test.want, qt.Commentf("%s", test.name))
	}
}

// maxRelayMessageBytes is the size of the messages that relays accept from gates.
const maxRelayMessageBytes = 512 << 10

// Guards against merges that depend on how often a report arrives, and against a block that is
// lost because further crashes exceed the bound.
func TestEvidenceIsBounded(t *testing.T) {
	c := qt.New(t)
	e := crashesOf([]Candidate{begun(1, 2, 9)}, []Candidate{begun(1, 2, 8)}, []Candidate{begun(1, 2, 7)})
	c.Assert(e.addCrash(Crash{ID: "s/2", Candidates: []Candidate{begun(1, 2, 8)}}), qt.IsFalse)
	for _, changed := range []bool{true, false, false} {
		c.Assert(e.addCrash(Crash{ID: "s/2", Candidates: []Candidate{begun(1, 2, 8), waiting(4, 5)}}), qt.Equals, changed)
	}
	never := func(Crash) bool { return false }
	for i := range uint64(200) {
		e.addCrash(Crash{ID: fmt.Sprint("t", i), At: int64(10_000 + 1000*i), Candidates: []Candidate{waiting(500 + i)}})
		e.prune(DefaultPolicy(), never)
	}
	c.Assert(e.Crashes, qt.HasLen, maxStoredCrashes)
	c.Assert(blockedOf(e, DefaultPolicy()), qt.DeepEquals, []uint64{2})
	e.prune(DefaultPolicy(), func(Crash) bool { return true })
	c.Assert(e.Crashes, qt.HasLen, 3)
	long := make([]uint64, 2*maxFingerprints)
	for i := range uint64(40) {
		for part := range long {
			long[part] = math.MaxUint64 - (10_000*(i+1) + uint64(part))
		}
		e.addCrash(Crash{ID: fmt.Sprint("u", i), At: int64(300_000 + 1000*i), Candidates: []Candidate{waiting(long...), waiting(long[1:]...)}})
		e.prune(DefaultPolicy(), never)
	}
	c.Assert(e.fingerprintCount() <= maxStoredFingerprints, qt.IsTrue)
	c.Assert(len(e.Crashes) > 3, qt.IsTrue)
	for _, crash := range e.Crashes[3:] {
		for _, f := range crash.Candidates[0].Fingerprints {
			e.addSound(SoundMark{Fingerprint: f, UpTo: e.LastNumber, ClosedUpTo: e.LastNumber})
		}
	}
	e.prune(DefaultPolicy(), never)
	raw, err := e.Encode()
	c.Assert(err, qt.IsNil)
	c.Assert(len(raw) < maxRelayMessageBytes, qt.IsTrue, qt.Commentf("%d bytes", len(raw)))
	decoded, err := DecodeEvidence(raw)
	c.Assert(err, qt.IsNil)
	c.Assert(blockedOf(decoded, DefaultPolicy()), qt.DeepEquals, []uint64{2})
}

// Any stored bytes either decode to evidence that can be merged, decided and stored again, or
// give an error.
func FuzzEvidence(f *testing.F) {
	f.Add([]byte(`{"v":1,"last":3,"crashes":[{"id":"a/1","n":1,"at":5,"c":[{"f":[1,18446744073709551615],"begun":true}]}],"sound":[{"f":1,"n":2,"closed":1}],"trials":[{"f":1,"count":1,"owner":"x"}]}`))
	f.Add([]byte(`{"v":1,"last":9007199254740992,"crashes":[{"id":"a","n":1,"at":9007199254740992,"c":[{"f":[1]}]},{"id":"b","n":2,"at":0,"c":[{"f":[1]}]}]}`))
	f.Add([]byte(`{"v":1,"crashes":[{"id":"a","n":-1,"at":-9223372036854775808,"c":[{"f":[]}]}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		e, err := DecodeEvidence(raw)
		if err != nil {
			return
		}
		for range 3 {
			e.addCrash(Crash{ID: "new", At: 1, Candidates: []Candidate{begun(1, 2)}})
			e.addCrash(Crash{ID: "newer", At: 1000, Candidates: []Candidate{waiting(1, 2)}})
			e.addSound(SoundMark{Fingerprint: 1, UpTo: e.LastNumber})
			e.addTrial(2, "owner")
		}
		e.prune(DefaultPolicy(), func(c Crash) bool { return c.Number%2 == 0 })
		encoded, err := e.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeEvidence(encoded); err != nil {
			t.Fatalf("%v: %s", err, encoded)
		}
	})
}

// newTestShared returns a Shared that runs until the test ends.
func newTestShared(t *testing.T, kv store.KV) *Shared {
	s := NewShared(SharedOptions{Key: "suspects", Store: kv, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: metrics.NewRegistry()})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() { _ = s.Run(ctx) }()
	return s
}

func reportCrashes(s *Shared, id string, n int) {
	for i := range n {
		s.ReportCrash(Crash{ID: fmt.Sprint(id, i), At: time.Now().UnixMilli(), Candidates: []Candidate{begun(1, 2, uint64(100+i))}})
		time.Sleep(time.Second)
	}
}

// Guards against more than one trial of a blocked fingerprint in a fleet, against one that is
// never tried again, and against one that stays blocked after its trial was answered.
func TestTrials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		mem := memstore.New(memstore.Options{})
		gates := []*Shared{newTestShared(t, mem), newTestShared(t, mem), newTestShared(t, mem)}
		mirror := func() {
			entry, err := mem.Get(t.Context(), "suspects")
			c.Assert(err, qt.IsNil)
			for _, g := range gates {
				g.Apply(entry, entry.ModRevision > 0)
			}
		}
		reportCrashes(gates[0], "a", 3)
		mirror()
		permitted := func() (n int) {
			for _, g := range gates {
				err := g.Check(t.Context(), []uint64{1, 2, 999})
				if err == nil {
					n++
					continue
				}
				c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
				c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeQuarantined)
			}
			mirror()
			return n
		}
		c.Assert(gates[1].Check(t.Context(), []uint64{1, 3, 999}), qt.IsNil)
		for _, wait := range []time.Duration{15, 30, 60} {
			time.Sleep(wait*time.Second - 2*time.Second)
			c.Assert(permitted(), qt.Equals, 0)
			time.Sleep(3 * time.Second)
			c.Assert(permitted(), qt.Equals, 1)
		}
		gates[2].ReportSound([]uint64{1, 2, 999})
		c.Assert(gates[2].Check(t.Context(), []uint64{1, 2, 999}), qt.IsNil)
		time.Sleep(time.Second)
		mirror()
		c.Assert(permitted(), qt.Equals, 3)
		c.Assert(gates[0].view.Load(), qt.IsNil)
	})
}

// Guards against reports that are lost while the store is down or with its reply, and against
// corrupt evidence that disables the registry.
func TestReportsSurviveTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		faulty := faultstore.New(memstore.New(memstore.Options{}))
		first, second := newTestShared(t, faulty), newTestShared(t, faulty)
		result, err := faulty.Commit(t.Context(), store.Txn{Write: []store.Write{{Key: "suspects", Value: []byte("[")}}})
		c.Assert(err, qt.IsNil)
		second.Apply(store.Entry{Key: "suspects", Value: []byte("["), ModRevision: result.Revision}, true)
		faulty.SetDown(true)
		reportCrashes(first, "a", 2)
		faulty.DropResponses(1)
		faulty.SetDown(false)
		time.Sleep(3 * time.Second)
		reportCrashes(second, "b", 1)
		c.Assert(second.Check(t.Context(), []uint64{2}), qt.IsNotNil)
		entry, err := faulty.Get(t.Context(), "suspects")
		c.Assert(err, qt.IsNil)
		evidence, err := DecodeEvidence(entry.Value)
		c.Assert(err, qt.IsNil)
		c.Assert(evidence.Crashes, qt.HasLen, 3)
		first.Apply(store.Entry{}, false) // a mirror that lags
		c.Assert(first.Check(t.Context(), []uint64{2}), qt.IsNil)
		first.Apply(entry, true)
		c.Assert(first.Check(t.Context(), []uint64{2}), qt.IsNotNil)
	})
}

// Guards against blocking what most requests share when servers crash together, and against
// ignoring crashes by a request that was answered long before.
func TestRecentAnswersAreNoCandidates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newTestShared(t, memstore.New(memstore.Options{}))
		report := func(id string, candidates ...Candidate) {
			s.ReportCrash(Crash{ID: id, At: time.Now().UnixMilli(), Candidates: candidates})
			time.Sleep(answerTTL / 2)
		}
		s.ReportSound([]uint64{1, 2, 100})
		report("a", begun(1, 2, 100), answering(1, 3, 101))
		c.Assert(s.Suspected([]uint64{1, 2, 100}), qt.IsFalse)
		c.Assert(s.Suspected([]uint64{3}), qt.IsTrue)
		report("b", begun(1, 3, 102))
		for _, id := range []string{"c", "d"} {
			report(id, begun(1, 3, 103))
		}
		c.Assert(s.Check(t.Context(), []uint64{1, 2, 104}), qt.IsNil)
		c.Assert(s.Check(t.Context(), []uint64{1, 3, 104}), qt.IsNotNil)
	})
}
