// Package prepaid keeps workspaces from spending more tokens than they paid for. Each
// workspace has one quota record in the store, which is divided into shares. The owner of a
// share is one process: a quota server, or a gate that reaches no quota server. An owner
// reserves tokens for requests up to the limit of its share, so a reservation needs neither
// another owner nor the store. A limit is raised only if the sum of all limits and of the
// amounts that ended processes may have spent stays within the paid amount. Shares change only
// by compare-and-swap.
//
// In addition, each owner writes a checkpoint to the store: the tokens that it has spent, and
// an upper bound on its spending until the next checkpoint. Its reservations stay within this
// bound, too. If a process ends without releasing its shares, the next process on the same
// host reclaims the tokens that its predecessor cannot have spent. The rest counts as spent.
//
// The balance of a workspace is the paid amount less what is spent and reserved. The
// unallocated amount is the paid amount less all limits and what ended processes may have
// spent.
//
// At a quota server, package reserve calls this package on behalf of the gates. A gate that
// reaches no quota server calls it directly, as its fallback, and owns a share itself. The
// package does not know how reservation requests reach it, nor what a gate does with a
// reservation.
package prepaid

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/monsoonworks/monsoonworks/internal/bootclock"
)

// Tokens is an amount of tokens.
type Tokens = int64

// recordVersion is the format version of quota records and checkpoints.
const recordVersion = 1

// ErrCorrupt means that a quota record or a checkpoint cannot be decoded. A corrupt quota
// record is never overwritten.
var ErrCorrupt = merry.New("stored record is corrupt")

// Share is one owner's part of a quota record. All amounts are in tokens.
type Share struct {
	// Owner is the name of the process that owns the share; see OwnerName.
	Owner string `json:"holder"`
	// Limit is the most that the owner may spend in total.
	Limit Tokens `json:"limit"`
	// Spent is the amount spent when the record was written.
	Spent Tokens `json:"spent"`
	// Reserved is the amount reserved for requests in progress at that time.
	Reserved Tokens `json:"reserved"`
	// Demand is the averaged rate of consumption, in tokens per second.
	Demand Tokens `json:"demand"`
}

// QuotaRecord is the stored record of one workspace's quota.
type QuotaRecord struct {
	Version int `json:"v"`
	// Closed is the total amount that processes that have ended may have spent.
	// ClosedSpent is the part of it that they are known to have spent or that was still
	// reserved when they released their shares.
	Closed      Tokens  `json:"closed"`
	ClosedSpent Tokens  `json:"closed_spent"`
	Shares      []Share `json:"shares"`
}

// DecodeQuotaRecord decodes a record. It returns an empty record if raw is empty, which means
// that the key does not exist yet. The error wraps ErrCorrupt.
func DecodeQuotaRecord(raw []byte) (QuotaRecord, error) {
	record := QuotaRecord{Version: recordVersion}
	if len(raw) == 0 {
		return record, nil
	}
	if err := json.Unmarshal(raw, &record); err != nil {
		return record, merry.Wrap(ErrCorrupt, merry.WithCause(err))
	}
	if err := record.validate(); err != nil {
		return record, merry.Wrap(ErrCorrupt, merry.WithCause(err))
	}
	return record, nil
}

const (
	// MaxAmount limits each amount, so that sums of the amounts of maxShares owners cannot
	// overflow.
	MaxAmount Tokens = 1 << 50
	maxShares        = 4096
)

var errInvalidFields = errors.New("amounts are negative, inconsistent or too large, or a share has no owner")

func validAmount(n Tokens) bool { return n >= 0 && n <= MaxAmount }

func (r *QuotaRecord) validate() error {
	if r.Version != recordVersion {
		return fmt.Errorf("unsupported version %d", r.Version)
	}
	if r.ClosedSpent < 0 || r.Closed < r.ClosedSpent || r.Closed > MaxAmount || len(r.Shares) > maxShares {
		return errInvalidFields
	}
	for _, s := range r.Shares {
		if s.Spent < 0 || s.Limit < s.Spent || s.Limit > MaxAmount || !validAmount(s.Reserved) || !validAmount(s.Demand) || s.Owner == "" {
			return errInvalidFields
		}
	}
	return nil
}

// Encode returns the record as it is stored.
func (r *QuotaRecord) Encode() ([]byte, error) { return json.Marshal(r) }

// shareOf returns an owner's share, or an empty share if it has none.
func (r *QuotaRecord) shareOf(owner string) Share {
	for _, s := range r.Shares {
		if s.Owner == owner {
			return s
		}
	}
	return Share{Owner: owner}
}

// totalAllocated returns the sum of all limits and of Closed.
func (r *QuotaRecord) totalAllocated() Tokens {
	total := r.Closed
	for _, s := range r.Shares {
		total += s.Limit
	}
	return total
}

// totalSpent returns the amount that counts as spent: what owners are known to have spent, and all
// that ended processes may have spent.
func (r *QuotaRecord) totalSpent() Tokens {
	total := r.Closed
	for _, s := range r.Shares {
		total += s.Spent
	}
	return total
}

// reservedByOthers returns the amount that other owners had reserved when they last wrote the
// record.
func (r *QuotaRecord) reservedByOthers(owner string) Tokens {
	total := Tokens(0)
	for _, s := range r.Shares {
		if s.Owner != owner {
			total += s.Reserved
		}
	}
	return total
}

// totalDemand returns the demand of all shares, in tokens per second.
func (r *QuotaRecord) totalDemand() Tokens {
	total := Tokens(0)
	for _, s := range r.Shares {
		total += s.Demand
	}
	return total
}

// setShare adds or replaces the share of s.Owner.
func (r *QuotaRecord) setShare(s Share) {
	i := slices.IndexFunc(r.Shares, func(o Share) bool { return o.Owner == s.Owner })
	if i >= 0 {
		r.Shares[i] = s
		return
	}
	r.Shares = append(r.Shares, s)
}

// hasOtherOwners reports whether a process other than the owner has a share.
func (r *QuotaRecord) hasOtherOwners(owner string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Owner != owner })
}

// hasPredecessor reports whether an earlier process on the owner's host still has a share.
func (r *QuotaRecord) hasPredecessor(owner string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Owner != owner && sameHost(s.Owner, owner) })
}

// closePredecessors closes the shares of earlier processes on the owner's host. They ended
// before this process started. The most that they can have spent counts as spent. prev is
// the checkpoint of the previous process, nil if there is none.
func (r *QuotaRecord) closePredecessors(owner string, start bootclock.Instant, workspace string, prev *Checkpoint) {
	r.Shares = slices.DeleteFunc(r.Shares, func(s Share) bool {
		if s.Owner == owner || !sameHost(s.Owner, owner) {
			return false
		}
		maxSpent, minSpent := prev.spentBounds(s, workspace, start)
		r.Closed += maxSpent
		r.ClosedSpent += minSpent
		return true
	})
}

// nameSeparator separates the host from the start ID in an owner's name.
const nameSeparator = "/"

// OwnerName returns the name of a process that owns shares: its host and an ID that is unique
// to this start of the process.
func OwnerName(host, start string) string { return host + nameSeparator + start }

// host returns the host of an owner.
func host(owner string) string {
	name, _, _ := strings.Cut(owner, nameSeparator)
	return name
}

// sameHost reports whether two owners are processes of the same host. A process
// starts only after its predecessor on the host has ended.
func sameHost(a, b string) bool { return host(a) == host(b) }
