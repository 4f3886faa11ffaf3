package suspect

import (
	"context"

	"github.com/monsoonworks/monsoonworks/internal/store"
	"github.com/monsoonworks/monsoonworks/internal/store/lossystore"
)

// simStore is a gate's connection to the store. While the store is silent, calls end without
// an answer at their deadline.
type simStore struct {
	*lossystore.Store
	sim *simulation
}

func (s *simStore) Commit(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	if s.sim.isSilent() {
		<-ctx.Done()
		return store.TxnResult{}, store.ErrUnknownOutcome
	}
	return s.Store.Commit(ctx, txn)
}

func (s *simStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if s.sim.isSilent() {
		<-ctx.Done()
		return store.Entry{}, store.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}
