// Package prepaid keeps workspaces from spending more than they paid for. Each
// workspace has one account record in the store. A holder may spend up to the limit
// of its share in the record; the sum of all limits never exceeds what was paid,
// so no holder needs another one, or the store, to admit a request. Shares move only
// by compare-and-swap.
//
// Besides, each holder keeps one statement in the store: what it has spent, and what
// it will spend at most over the time that follows. When a holder ends without giving
// back its shares, the next process of its host takes back what the one before
// cannot have spent; the rest counts as spent.
package prepaid

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Tokens is an amount of tokens.
type Tokens = int64

// recordVersion is the version of the account record.
const recordVersion = 1

// ErrCorrupt means that an account record cannot be read. Nothing overwrites it.
var ErrCorrupt = merry.New("account record is damaged")

// Share is a holder's part of an account.
type Share struct {
	// QuotaServer names the holder's process: its host and the number of its start.
	QuotaServer string `json:"holder"`
	// Limit is what the holder may spend in all.
	Limit Tokens `json:"limit"`
	// Spent is what it had spent when it wrote the record.
	Spent Tokens `json:"spent"`
	// Reserved is what its requests in progress held then.
	Reserved Tokens `json:"reserved"`
	// Demand is what it spends, in tokens a second.
	Demand Tokens `json:"demand"`
}

// QuotaRecord is the record of a workspace.
type QuotaRecord struct {
	Version int `json:"v"`
	// Closed is what ended holders may have spent, and ClosedSpent what they are
	// known to have spent.
	Closed      Tokens  `json:"closed"`
	ClosedSpent Tokens  `json:"closed_spent"`
	Shares      []Share `json:"shares"`
}

// DecodeQuotaRecord decodes a record. A record that does not exist is an empty one.
func DecodeQuotaRecord(raw []byte) (QuotaRecord, error) {
	a := QuotaRecord{Version: recordVersion}
	if len(raw) == 0 {
		return a, nil
	}
	if err := json.Unmarshal(raw, &a); err != nil {
		return a, merry.Wrap(ErrCorrupt, merry.WithCause(err))
	}
	if err := a.check(); err != nil {
		return a, merry.Wrap(ErrCorrupt, merry.WithCause(err))
	}
	return a, nil
}

var errAmounts = errors.New("amounts contradict each other")

func (a *QuotaRecord) check() error {
	if a.Version != recordVersion {
		return fmt.Errorf("unknown version %d", a.Version)
	}
	if a.ClosedSpent < 0 || a.Closed < a.ClosedSpent {
		return errAmounts
	}
	for _, s := range a.Shares {
		if s.Spent < 0 || s.Limit < s.Spent || s.Reserved < 0 || s.Demand < 0 || s.QuotaServer == "" {
			return errAmounts
		}
	}
	return nil
}

// Encode returns the record's bytes.
func (a *QuotaRecord) Encode() ([]byte, error) { return json.Marshal(a) }

// share returns a holder's share, a zero one if it has none.
func (a *QuotaRecord) share(holder string) Share {
	for _, s := range a.Shares {
		if s.QuotaServer == holder {
			return s
		}
	}
	return Share{QuotaServer: holder}
}

// limits returns the sum of what all may spend.
func (a *QuotaRecord) limits() Tokens {
	total := a.Closed
	for _, s := range a.Shares {
		total += s.Limit
	}
	return total
}

// spent returns the sum of what is known to be spent.
func (a *QuotaRecord) spent() Tokens {
	total := a.ClosedSpent
	for _, s := range a.Shares {
		total += s.Spent
	}
	return total
}

// reservedByOthers returns what requests at other holders held when these wrote.
func (a *QuotaRecord) reservedByOthers(holder string) Tokens {
	total := Tokens(0)
	for _, s := range a.Shares {
		if s.QuotaServer != holder {
			total += s.Reserved
		}
	}
	return total
}

// demand returns the demand of all shares, in tokens a second.
func (a *QuotaRecord) demand() Tokens {
	total := Tokens(0)
	for _, s := range a.Shares {
		total += s.Demand
	}
	return total
}

// put replaces a holder's share.
func (a *QuotaRecord) put(s Share) {
	i := slices.IndexFunc(a.Shares, func(o Share) bool { return o.QuotaServer == s.QuotaServer })
	if i >= 0 {
		a.Shares[i] = s
		return
	}
	a.Shares = append(a.Shares, s)
}

// hasEarlier reports whether there are shares of earlier processes of a holder's host.
func (a *QuotaRecord) hasEarlier(holder string) bool {
	return slices.ContainsFunc(a.Shares, func(s Share) bool { return s.QuotaServer != holder && sameHost(s.QuotaServer, holder) })
}

// closeBefore ends the shares of earlier processes of a holder's host, which have
// ended when this one started. What they can have spent counts as spent; last is
// the statement of the process before, nil if there is none.
func (a *QuotaRecord) closeBefore(holder string, start Instant, workspace string, last *Checkpoint) {
	a.Shares = slices.DeleteFunc(a.Shares, func(s Share) bool {
		if s.QuotaServer == holder || !sameHost(s.QuotaServer, holder) {
			return false
		}
		most, least := last.bounds(s, workspace, start)
		a.Closed += most
		a.ClosedSpent += least
		return true
	})
}

// holderSeparator stands between host and start in a holder's name.
const holderSeparator = "/"

// QuotaServerName names a holder's process.
func QuotaServerName(host, start string) string { return host + holderSeparator + start }

// hostOf returns the host of a holder.
func hostOf(holder string) string {
	host, _, _ := strings.Cut(holder, holderSeparator)
	return host
}

// sameHost reports whether two holders are processes of the same host. A process
// starts only after the one before it on its host has ended.
func sameHost(a, b string) bool { return hostOf(a) == hostOf(b) }
