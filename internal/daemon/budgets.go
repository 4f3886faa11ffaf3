package daemon

import (
	"log/slog"

	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/prepaid"
	"github.com/monsoonworks/monsoonworks/internal/store"
)

// budgetPrefix begins the keys of accounts and statements in the store.
const budgetPrefix = "mw/"

// newBook returns the budgets of a process of a host, by the number of its start.
func newBook(host, start string, st store.KV, registry metrics.Registry, log *slog.Logger) *prepaid.Manager {
	clock, err := prepaid.NewBootClock()
	if err != nil {
		log.Warn("what an earlier process left unspent cannot be told", "error", err)
	}
	now := clock.Now()
	log.Info("host clock", "boot", now.Boot, "ms", now.Millis)
	return prepaid.NewManager(prepaid.Options{
		QuotaServer: prepaid.QuotaServerName(host, start), Prefix: budgetPrefix, Clock: clock,
		Store: st, Policy: prepaid.DefaultPolicy(), Log: log, Metrics: registry,
	})
}
