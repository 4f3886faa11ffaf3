package daemon

import (
	"log/slog"

	"github.com/rcrowley/go-metrics"

	"github.com/monsoonworks/monsoonworks/internal/bootclock"
	"github.com/monsoonworks/monsoonworks/internal/prepaid"
	"github.com/monsoonworks/monsoonworks/internal/store"
)

// quotaPrefix is the store key prefix of quota records and checkpoints.
const quotaPrefix = "mw/"

// suspectsKey is the store key of the evidence of crashes, and the prefix to watch for it.
const suspectsKey = "mw/suspects"

// newBootClock returns the boot clock of the host and logs its reading.
func newBootClock(log *slog.Logger) bootclock.Clock {
	clock, err := bootclock.New()
	if err != nil {
		log.Warn("boot clock unavailable, unspent shares of earlier processes cannot be recovered, nor watches shared", "error", err)
	}
	now := clock.Now()
	log.Info("host boot clock read", "boot", now.Boot, "ms", now.Millis)
	return clock
}

// newQuotaManager returns the manager of this process's shares of the workspaces' quotas.
// runID is a random identifier of this run of the process; together with host it names the
// owner of the shares in the store.
func newQuotaManager(host, runID string, clock bootclock.Clock, st store.KV, registry metrics.Registry, log *slog.Logger) *prepaid.Manager {
	return prepaid.NewManager(prepaid.Options{
		Owner: prepaid.OwnerName(host, runID), Prefix: quotaPrefix, Clock: clock,
		Store: st, Policy: prepaid.DefaultPolicy(), Log: log, Metrics: registry,
	})
}
