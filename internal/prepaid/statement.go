package prepaid

import (
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"
)

// Checkpoint is the record of one holder: what it has spent of each budget, and what
// it will spend at most until it writes the next one. Only the holder writes it.
type Checkpoint struct {
	Version     int    `json:"v"`
	QuotaServer string `json:"holder"`
	// At is when the holder made the statement, by its host's clock.
	At Instant `json:"at"`
	// Rows are by workspace.
	Rows map[string]UsageBound `json:"rows"`
}

// UsageBound is a holder's statement about one workspace.
type UsageBound struct {
	Spent Tokens `json:"spent"`
	// Burst may be spent at once, and Rate tokens a second besides.
	Burst Tokens `json:"burst"`
	Rate  Tokens `json:"rate"`
}

// most returns what the holder may have spent d after the statement.
func (r UsageBound) most(d time.Duration) Tokens {
	return r.Spent + r.Burst + Tokens(float64(r.Rate)*d.Seconds())
}

// DecodeCheckpoint decodes a statement. The error is ErrCorrupt.
func DecodeCheckpoint(raw []byte) (*Checkpoint, error) {
	var s Checkpoint
	if err := json.Unmarshal(raw, &s); err != nil {
		return nil, merry.Wrap(ErrCorrupt, merry.WithCause(err))
	}
	if s.Version != recordVersion {
		return nil, merry.Wrap(ErrCorrupt, merry.AppendMessagef("unknown version %d", s.Version))
	}
	for _, r := range s.Rows {
		if r.Spent < 0 || r.Burst < 0 || r.Rate < 0 {
			return nil, merry.Wrap(ErrCorrupt, merry.WithCause(errAmounts))
		}
	}
	return &s, nil
}

// bounds returns what the holder of a share can have spent at most when the next
// process of its host started, and what it has spent at least. Without a statement
// or a common clock the limit is the most.
func (s *Checkpoint) bounds(share Share, workspace string, start Instant) (most, least Tokens) {
	most, least = share.Limit, share.Spent
	if s == nil || s.QuotaServer != share.QuotaServer {
		return most, least
	}
	row, ok := s.Rows[workspace]
	if !ok {
		return most, least
	}
	least = min(max(least, row.Spent), share.Limit)
	if elapsed, ok := start.Since(s.At); ok {
		most = max(min(most, row.most(elapsed)), least)
	}
	return most, least
}

// promise is a row that may be in the store, with its time.
type promise struct {
	row UsageBound
	at  Instant
	// none is set for a statement without a row for the workspace.
	none bool
}

// mostAt returns what may be spent in all at an instant, and false if the promise
// says nothing.
func (p promise) mostAt(now Instant) (Tokens, bool) {
	if p.none {
		return 0, false
	}
	elapsed, ok := now.Since(p.at)
	if !ok {
		elapsed = 0
	}
	return p.row.most(elapsed), true
}
