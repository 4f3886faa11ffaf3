package demo

import (
	"context"
	"strings"
	"time"

	"github.com/monsoonworks/monsoonworks/devel/history"
	"github.com/monsoonworks/monsoonworks/devel/standin/engine"
	"github.com/monsoonworks/monsoonworks/devel/standin/service"
	"github.com/monsoonworks/monsoonworks/internal/budget"
)

// collect adds the executions of the backend servers, the bills, losses and
// balances, and the killed processes to log.
func (d *Demo) collect(ctx context.Context, log *history.Log) error {
	d.mu.Lock()
	log.Kills = append(log.Kills, d.kills...)
	d.mu.Unlock()
	for name, e := range d.Engines {
		for _, record := range e.Requests() {
			if record.Start.IsZero() {
				continue // queued, but never started
			}
			log.Executions = append(log.Executions, history.Execution{
				Server: name, Kind: history.KindModel, Attempt: record.ID, Marker: record.Echo,
				Start: record.Start.Sub(d.started), End: record.End.Sub(d.started),
				PromptTokens: record.PromptTokens, Tokens: record.Tokens, Ending: record.Ending,
			})
		}
	}
	for name, s := range d.Services {
		for _, execution := range s.Executions() {
			log.Executions = append(log.Executions, serviceExecution(name, execution, d.started))
		}
	}
	for _, w := range d.Spec.Workspaces {
		if err := d.collectBudget(ctx, log, budget.MakeID(w.Name, "")); err != nil {
			return err
		}
	}
	log.GroundTruth = true
	return nil
}

func serviceExecution(server string, execution service.Execution, started time.Time) history.Execution {
	at := execution.At.Sub(started)
	return history.Execution{
		Server: server, Kind: history.KindService, Marker: extractMarker(execution.Body + execution.Path), Key: execution.Key,
		Start: at, End: at, Ending: history.EndStop,
	}
}

// extractMarker returns the echo marker in text, or an empty string.
func extractMarker(text string) string {
	_, rest, _ := strings.Cut(text, engine.EchoOpen)
	marker, _, _ := strings.Cut(rest, "]]")
	return marker
}

// collectBudget adds the bills, losses and balance of one budget to log.
func (d *Demo) collectBudget(ctx context.Context, log *history.Log, id budget.ID) error {
	statement, err := d.Budgets.Statement(ctx, id, d.Spec.RegionNames())
	if err != nil {
		return err
	}
	for _, b := range statement.Bills {
		log.Bills = append(log.Bills, history.Bill{
			Budget: string(b.Budget), Request: b.Request.String(), Attempt: b.Attempt.String(), Target: b.Target,
			Server: b.Server, Amount: int64(b.Amount), Estimated: b.Estimated, At: b.Time().Sub(d.started),
		})
	}
	for _, l := range statement.Losses {
		log.Losses = append(log.Losses, history.Loss{
			Budget: string(l.Budget), Amount: int64(l.Amount), At: time.UnixMilli(l.UnixMilli).Sub(d.started),
		})
	}
	balance, err := d.Budgets.Balance(ctx, id)
	if err != nil {
		return err
	}
	log.Budgets = append(log.Budgets, history.Budget{
		ID: string(id), Paid: int64(balance.Paid), Spent: int64(balance.Spent), Lost: int64(balance.Lost),
	})
	return nil
}
