package config

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
)

// HolderPrefix is the store key prefix of the holder records.
const HolderPrefix = "/mw/sync/holder/"

// HolderRecord identifies the holder of an account. It is stored as JSON.
type HolderRecord struct {
	// Epoch is increased by each takeover of the account; see package budget.
	Epoch uint64 `json:"epoch"`
	// Name is the name of the holder's host.
	Name string `json:"name"`
	// Address is the "IP:port" at which peers reach the holder.
	Address string `json:"address"`
	// Boot is the ID of the holder's process run; see budget.BootID.
	Boot uuid.UUID `json:"boot"`
	// Released is set by a holder that has released the account, at a planned stop, and no
	// longer acts for it.
	Released bool `json:"released,omitempty"`
}

// HolderKey returns the store key of an account's holder record.
func HolderKey(account budget.Account) string {
	return fmt.Sprintf("%s%d/%s", HolderPrefix, account.Shard, account.Region)
}

// HolderKeyPattern returns the key pattern of the holder records of one region; see
// wire.SyncPollArgs.KeyPatterns.
func HolderKeyPattern(region string) string { return HolderPrefix + "*/" + region }

// ErrInvalidHolderKey means that a key does not belong to a holder record.
var ErrInvalidHolderKey = errors.New("not the key of a holder record")

// ParseHolderKey returns the account of a holder record's key. It fails with
// ErrInvalidHolderKey.
func ParseHolderKey(key string) (budget.Account, error) {
	rest, ok := strings.CutPrefix(key, HolderPrefix)
	shard, region, cut := strings.Cut(rest, "/")
	number, err := strconv.ParseUint(shard, 10, 32)
	account := budget.Account{Shard: budget.Shard(number), Region: region}
	if !ok || !cut || err != nil || region == "" || HolderKey(account) != key {
		return budget.Account{}, fmt.Errorf("%w: %q", ErrInvalidHolderKey, key)
	}
	return account, nil
}

// DecodeHolder decodes a holder record. It rejects unknown fields and records in which the
// epoch or the name is missing.
func DecodeHolder(data []byte) (HolderRecord, error) {
	var record HolderRecord
	if err := decodeStrict(data, &record); err != nil {
		return HolderRecord{}, fmt.Errorf("holder record: %w", err)
	}
	if record.Epoch == 0 || record.Name == "" {
		return HolderRecord{}, errors.New("holder record: epoch and name must be set")
	}
	return record, nil
}
