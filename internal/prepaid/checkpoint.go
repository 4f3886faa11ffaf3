package prepaid

import (
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/monsoonworks/monsoonworks/internal/bootclock"
)

// Checkpoint is the stored record of one owner of shares: what it has spent of each workspace's
// quota, and an upper bound on what it spends until the next checkpoint. The processes of a
// host write it to the same key, one after the other; no other host writes this key.
type Checkpoint struct {
	Version int    `json:"v"`
	Owner   string `json:"holder"`
	// At is when the checkpoint was made, by the boot clock of the host.
	At bootclock.Instant `json:"at"`
	// UsageBounds holds a bound for each workspace.
	UsageBounds map[string]UsageBound `json:"rows"`
}

// UsageBound bounds what an owner spends of one workspace's quota: in total at most
// Spent + Burst + Rate*t, t seconds after the checkpoint.
type UsageBound struct {
	// Spent is the amount spent when the checkpoint was made.
	Spent Tokens `json:"spent"`
	// Burst is the number of tokens that may be spent at once, Rate the number of further
	// tokens per second.
	Burst Tokens `json:"burst"`
	Rate  Tokens `json:"rate"`
}

// maxSpent returns the most that may have been spent in total d after the checkpoint.
func (b UsageBound) maxSpent(d time.Duration) Tokens {
	return b.Spent + b.Burst + Tokens(min(float64(b.Rate)*d.Seconds(), float64(MaxAmount)))
}

// DecodeCheckpoint decodes a checkpoint. The error wraps ErrCorrupt.
func DecodeCheckpoint(raw []byte) (*Checkpoint, error) {
	var c Checkpoint
	if err := json.Unmarshal(raw, &c); err != nil {
		return nil, merry.Wrap(ErrCorrupt, merry.WithCause(err))
	}
	if c.Version != recordVersion {
		return nil, merry.Wrap(ErrCorrupt, merry.AppendMessagef("unsupported version %d", c.Version))
	}
	for _, b := range c.UsageBounds {
		if !validAmount(b.Spent) || !validAmount(b.Burst) || !validAmount(b.Rate) {
			return nil, merry.Wrap(ErrCorrupt, merry.WithCause(errInvalidFields))
		}
	}
	return &c, nil
}

// spentBounds returns the most and the least that the owner of a share can have spent by the
// time that the next process of its host started. The most is the limit of the share if there
// is no checkpoint of that owner, if the checkpoint has no bound for the workspace, or if the
// time since the checkpoint is not known, for example because the host was rebooted.
func (c *Checkpoint) spentBounds(share Share, workspace string, start bootclock.Instant) (maxSpent, minSpent Tokens) {
	maxSpent, minSpent = share.Limit, share.Spent
	if c == nil || c.Owner != share.Owner {
		return maxSpent, minSpent
	}
	bound, ok := c.UsageBounds[workspace]
	if !ok {
		return maxSpent, minSpent
	}
	minSpent = min(max(minSpent, bound.Spent), share.Limit)
	if elapsed, ok := start.Since(c.At); ok {
		maxSpent = max(min(maxSpent, bound.maxSpent(elapsed)), minSpent)
	}
	return maxSpent, minSpent
}

// checkpointBound is a bound of a checkpoint that may be in the store.
type checkpointBound struct {
	bound UsageBound
	at    bootclock.Instant
	// absent is set if the checkpoint has no bound for the workspace. It then limits nothing,
	// because a successor counts the whole limit of the share as spent.
	absent bool
}

// maxSpentAt returns the most that may be spent in total by an instant, and false if the
// checkpoint has no bound for the workspace.
func (b checkpointBound) maxSpentAt(now bootclock.Instant) (Tokens, bool) {
	if b.absent {
		return 0, false
	}
	elapsed, ok := now.Since(b.at)
	if !ok {
		elapsed = 0 // the time since the checkpoint is not known; 0 gives the lowest bound
	}
	return b.bound.maxSpent(elapsed), true
}
