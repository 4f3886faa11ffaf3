package config

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonworks/monsoonworks/devel/standin/faultstore"
	"github.com/monsoonworks/monsoonworks/internal/store"
	"github.com/monsoonworks/monsoonworks/internal/store/memstore"
)

func putWorkspace(c *qt.C, name string, concurrent int) EntryWrite {
	w := workspace(name)
	w.MaxConcurrent = concurrent
	write, err := NewPut(SectionWorkspace, name, w)
	c.Assert(err, qt.IsNil)
	return write
}

// withDeployment runs a test in virtual time on a store that holds a deployment entry.
func withDeployment(t *testing.T, test func(c *qt.C, s *faultstore.Store, base int64)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := faultstore.New(memstore.New(memstore.Options{}))
		first, err := NewPut(SectionDeployment, DeploymentName, deployment())
		c.Assert(err, qt.IsNil)
		base, err := Apply(c.Context(), s, 0, []EntryWrite{first}, "setup")
		c.Assert(err, qt.IsNil)
		test(c, s, base)
	})
}

func loadSnapshot(c *qt.C, s store.KV) *Snapshot {
	read, err := s.List(c.Context(), Prefix)
	c.Assert(err, qt.IsNil)
	snapshot, err := Load(read.Entries)
	c.Assert(err, qt.IsNil)
	return snapshot
}

// Guards against concurrent operators who overwrite each other's change, and against a
// conflict error that does not list the other change.
func TestConcurrentApplyConflicts(t *testing.T) {
	withDeployment(t, func(c *qt.C, s *faultstore.Store, base int64) {
		s.SetDelay(50 * time.Millisecond) // both read before either writes
		errs := make([]error, 2)
		var wg sync.WaitGroup
		for i := range errs {
			wg.Go(func() {
				_, errs[i] = Apply(c.Context(), s, base, []EntryWrite{putWorkspace(c, fmt.Sprintf("w%d", i), 1)}, fmt.Sprintf("op%d", i))
			})
		}
		wg.Wait()
		loser := 0
		if errs[0] == nil {
			loser = 1
		}
		c.Assert(errs[1-loser], qt.IsNil)
		var conflict *ConflictError
		c.Assert(errors.As(errs[loser], &conflict), qt.IsTrue, qt.Commentf("%v", errs[loser]))
		c.Assert(conflict.Author, qt.Equals, fmt.Sprintf("op%d", 1-loser))
		c.Assert(conflict.Others, qt.HasLen, 1)
		c.Assert(conflict.Others[0].Name, qt.Equals, fmt.Sprintf("w%d", 1-loser))
		snapshot := loadSnapshot(c, s)
		c.Assert(snapshot.Workspaces, qt.HasLen, 1)
		c.Assert(snapshot.Head.Number, qt.Equals, uint64(2))
		c.Assert(snapshot.Version, qt.Equals, conflict.Current)
	})
}

// Guards against a conflict error that does not list a deletion.
func TestConflictShowsDeletion(t *testing.T) {
	withDeployment(t, func(c *qt.C, s *faultstore.Store, base int64) {
		base, err := Apply(c.Context(), s, base, []EntryWrite{putWorkspace(c, "a", 1)}, "")
		c.Assert(err, qt.IsNil)
		_, err = Apply(c.Context(), s, base, []EntryWrite{{Section: SectionWorkspace, Name: "a", Delete: true}}, "")
		c.Assert(err, qt.IsNil)
		_, err = Apply(c.Context(), s, base, []EntryWrite{putWorkspace(c, "a", 2)}, "")
		c.Assert(err, qt.ErrorMatches, `.*changed since: workspace/a`)
		c.Assert(err.(*ConflictError).Others[0].Delete, qt.IsTrue)
	})
}

// Guards against a change that is committed twice or reported as failed after the reply to
// its transaction was lost.
func TestApplyAfterLostReply(t *testing.T) {
	withDeployment(t, func(c *qt.C, s *faultstore.Store, base int64) {
		s.DropResponses(1)
		version, err := Apply(c.Context(), s, base, []EntryWrite{putWorkspace(c, "a", 1)}, "")
		c.Assert(err, qt.IsNil)
		snapshot := loadSnapshot(c, s)
		c.Assert(snapshot.Version, qt.Equals, version)
		c.Assert(snapshot.Head.Number, qt.Equals, uint64(2))
	})
}

// commitHook calls afterCommit in the first Commit and returns ErrUnknownOutcome from it.
type commitHook struct {
	store.KV
	afterCommit func()
	commit      bool // whether the first Commit executes the transaction
}

func (h *commitHook) Commit(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	after := h.afterCommit
	if after == nil {
		return h.KV.Commit(ctx, txn)
	}
	h.afterCommit = nil
	if h.commit {
		if _, err := h.KV.Commit(ctx, txn); err != nil {
			return store.TxnResult{}, err
		}
	}
	after()
	return store.TxnResult{}, store.ErrUnknownOutcome
}

// Guards against a wrong outcome when other changes are committed between the lost reply and
// the read-back. If the change was committed, the history lists it after up to
// maxRecentChanges others; after more of them the outcome stays unknown. If it was not
// committed, it is reported as a conflict, or sent again if there were no other changes.
func TestLostReplyFollowedByOtherChanges(t *testing.T) {
	for _, test := range []struct {
		others    int
		committed bool
		check     func(c *qt.C, version, base int64, err error)
	}{
		{maxRecentChanges, true, func(c *qt.C, version, base int64, err error) {
			c.Assert(err, qt.IsNil)
			c.Assert(version, qt.Equals, base+1)
		}},
		{maxRecentChanges + 1, true, func(c *qt.C, _, _ int64, err error) {
			c.Assert(err, qt.ErrorIs, store.ErrUnknownOutcome)
		}},
		{2, false, func(c *qt.C, _, _ int64, err error) {
			var conflict *ConflictError
			c.Assert(errors.As(err, &conflict), qt.IsTrue)
		}},
		{0, false, func(c *qt.C, version, base int64, err error) {
			c.Assert(err, qt.IsNil) // the transaction was sent again
			c.Assert(version, qt.Equals, base+1)
		}},
	} {
		withDeployment(t, func(c *qt.C, s *faultstore.Store, base int64) {
			h := &commitHook{KV: s, commit: test.committed, afterCommit: func() {
				for i := range test.others {
					_, err := Apply(c.Context(), s, loadSnapshot(c, s).Version, []EntryWrite{putWorkspace(c, "other", i+1)}, "")
					c.Assert(err, qt.IsNil)
				}
			}}
			version, err := Apply(c.Context(), h, base, []EntryWrite{putWorkspace(c, "a", 1)}, "")
			test.check(c, version, base, err)
			snapshot := loadSnapshot(c, s)
			_, present := snapshot.Workspaces["a"]
			c.Assert(present, qt.Equals, test.committed || test.others == 0)
		})
	}
}

// Guards against an outage that is reported as an unknown outcome although nothing was sent,
// and against an unknown outcome that is reported as a failure when the store stays down.
func TestApplyWhileStoreIsDown(t *testing.T) {
	withDeployment(t, func(c *qt.C, s *faultstore.Store, base int64) {
		s.SetDown(true)
		_, err := Apply(c.Context(), s, base, []EntryWrite{putWorkspace(c, "a", 1)}, "")
		c.Assert(err, qt.ErrorIs, store.ErrUnavailable)
		s.SetDown(false)
		ctx, cancel := context.WithTimeout(c.Context(), time.Minute)
		defer cancel()
		h := &commitHook{KV: s, commit: true, afterCommit: func() { s.SetDown(true) }}
		_, err = Apply(ctx, h, base, []EntryWrite{putWorkspace(c, "a", 1)}, "")
		c.Assert(err, qt.ErrorIs, store.ErrUnknownOutcome)
	})
}

// Guards against changes that make the configuration invalid or that move budgets to other
// shards by changing the number of shards.
func TestApplyRefusesInvalidChanges(t *testing.T) {
	withDeployment(t, func(c *qt.C, s *faultstore.Store, base int64) {
		moved := deployment()
		moved.Shards = 8
		reshard, err := NewPut(SectionDeployment, DeploymentName, moved)
		c.Assert(err, qt.IsNil)
		elsewhere := workspace("a")
		elsewhere.HomeRegion = "elsewhere"
		dangling, err := NewPut(SectionWorkspace, "a", elsewhere)
		c.Assert(err, qt.IsNil)
		for _, writes := range [][]EntryWrite{
			{reshard}, {dangling}, {putWorkspace(c, "a", 0)}, {putWorkspace(c, "a", 1), putWorkspace(c, "a", 2)},
			{{Section: SectionDeployment, Name: DeploymentName, Delete: true}},
		} {
			_, err := Apply(c.Context(), s, base, writes, "")
			c.Check(err, qt.ErrorIs, ErrInvalid)
		}
		c.Assert(loadSnapshot(c, s).Version, qt.Equals, base)
	})
}
