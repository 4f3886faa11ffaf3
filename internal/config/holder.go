package config

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"github.com/monsoonworks/monsoonworks/internal/budget"
)

// HolderPrefix is the prefix of the holder records in the store.
const HolderPrefix = "/mw/sync/holder/"

// HolderRecord names the holder of an account. It is JSON in the store.
type HolderRecord struct {
	// Epoch grows with each takeover.
	Epoch   uint64    `json:"epoch"`
	Name    string    `json:"name"`
	Address string    `json:"address"`
	Boot    uuid.UUID `json:"boot"`
	// Released is set by a holder that has handed the account over and stopped.
	Released bool `json:"released,omitempty"`
}

// HolderKey returns the store key of an account's holder record.
func HolderKey(account budget.Account) string {
	return fmt.Sprintf("%s%d/%s", HolderPrefix, account.Shard, account.Region)
}

// HolderKeyPattern returns the key pattern that selects the holder records of one
// region; see wire.SyncPollArgs.
func HolderKeyPattern(region string) string { return HolderPrefix + "*/" + region }

// ErrHolderKey means that a key is not the key of a holder record.
var ErrHolderKey = errors.New("not a holder key")

// ParseHolderKey returns the account of a holder record's key.
func ParseHolderKey(key string) (budget.Account, error) {
	rest, ok := strings.CutPrefix(key, HolderPrefix)
	shard, region, cut := strings.Cut(rest, "/")
	number, err := strconv.ParseUint(shard, 10, 32)
	account := budget.Account{Shard: budget.Shard(number), Region: region}
	if !ok || !cut || err != nil || region == "" || HolderKey(account) != key {
		return budget.Account{}, fmt.Errorf("%w: %q", ErrHolderKey, key)
	}
	return account, nil
}

// DecodeHolder decodes a holder record strictly.
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
