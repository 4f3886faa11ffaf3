package suspect

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/internal/store/memstore"
)

// Guards against crashes that do not count because a host whose clock is behind reports them, and against
// crashes at the same time that count several times for that reason.
func TestCrashesReportedByClockBehindCount(t *testing.T) {
	for spacing, want := range map[time.Duration]bool{time.Second: true, 100 * time.Millisecond: false} {
		synctest.Test(t, func(t *testing.T) {
			mem := memstore.New(memstore.Options{})
			gates := []*Shared{newTestShared(t, mem), newTestShared(t, mem)}
			clocks := []time.Duration{0, -2 * time.Hour}
			for i := range 3 {
				n := i % 2
				gates[n].ReportCrash(Crash{
					ID: fmt.Sprint("s/", i), At: time.Now().Add(clocks[n]).UnixMilli(), Candidates: []Candidate{begun(1, 2, uint64(100+i))},
				})
				mirrored := min(spacing, 200*time.Millisecond)
				time.Sleep(mirrored)
				entry, err := mem.Get(t.Context(), "suspects")
				qt.Assert(t, err, qt.IsNil)
				for _, g := range gates {
					g.Apply(entry, entry.ModRevision > 0)
				}
				time.Sleep(spacing - mirrored)
			}
			time.Sleep(time.Second)
			qt.Check(t, gates[0].Check(t.Context(), []uint64{1, 2, 200}) != nil, qt.Equals, want, qt.Commentf("%v apart", spacing))
		})
	}
}

// Guards against blocking a part that sound requests share instead of a more specific cause, because a
// clock that is behind makes crashes count against the one and not against the other.
func TestClockBehindBlocksNoSharedPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := memstore.New(memstore.Options{})
		gates := []*Shared{newTestShared(t, mem), newTestShared(t, mem)}
		clocks := []time.Duration{0, -2 * time.Hour}
		report := func(n int, id uint64) {
			gates[n].ReportCrash(Crash{
				ID: fmt.Sprint("s/", id), At: time.Now().Add(clocks[n]).UnixMilli(), Candidates: []Candidate{begun(1, 2, 3, id)},
			})
			time.Sleep(200 * time.Millisecond)
			entry, err := mem.Get(t.Context(), "suspects")
			qt.Assert(t, err, qt.IsNil)
			for _, g := range gates {
				g.Apply(entry, entry.ModRevision > 0)
			}
			time.Sleep(800 * time.Millisecond)
		}
		report(0, 100)
		gates[1].ReportSound([]uint64{1, 2, 200})
		time.Sleep(answerTTL)
		report(1, 101)
		report(1, 102)
		report(0, 103)
		qt.Check(t, gates[1].Check(t.Context(), []uint64{1, 2, 201}), qt.IsNil)
		qt.Check(t, gates[1].Check(t.Context(), []uint64{1, 2, 3, 202}), qt.IsNotNil)
	})
}
