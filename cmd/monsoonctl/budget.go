package main

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/ctl"
	"github.com/monsoonworks/monsoonworks/internal/questionnaire"
)

const (
	flagID      = "id"
	flagAnswers = "answers"
	flagSince   = "since"
	flagUntil   = "until"
)

// dateLayout is accepted for times on the command line besides RFC 3339.
const dateLayout = "2006-01-02"

func (t *tool) workspaceCommand() *cli.Command {
	newAction := func(args int) cli.ActionFunc {
		return action(args, args, func(ctx context.Context, cmd *cli.Command) error {
			snapshot, err := readConfig(ctx, cmd)
			if err != nil {
				return err
			}
			workspaces, err := ctl.ListWorkspaces(snapshot, cmd.Args().First())
			if err != nil {
				return err
			}
			return t.write(workspaces)
		})
	}
	return &cli.Command{
		Name: "workspace", Usage: "show workspaces", Description: "Example: monsoonctl workspace list",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list all configured workspaces", Description: "Example: monsoonctl workspace list --output csv", Action: newAction(0)},
			{Name: "show", Usage: "show one workspace", ArgsUsage: "WORKSPACE", Description: "Example: monsoonctl workspace show sapporo-shops", Action: newAction(1)},
		},
	}
}

// withBudget returns an action that calls f with the budget that the first argument
// names. A result is written even if f also returns an error, because a rotation
// that fails after the new key was issued must still show that key.
func (t *tool) withBudget(arguments int, f func(ctx context.Context, cmd *cli.Command, budgets *ctl.BudgetStore, id budget.ID) (ctl.Result, error)) cli.ActionFunc {
	return action(arguments, arguments, func(ctx context.Context, cmd *cli.Command) error {
		id, err := ctl.ParseBudgetID(cmd.Args().First())
		if err != nil {
			return err
		}
		budgets, err := openBudgetStore(ctx, cmd)
		if err != nil {
			return err
		}
		result, err := f(ctx, cmd, budgets, id)
		if result != nil {
			if writeErr := t.write(result); err == nil {
				err = writeErr
			}
		}
		return err
	})
}

func (t *tool) budgetCommand() *cli.Command {
	return &cli.Command{
		Name: "budget", Usage: "create and show budgets", Description: "Example: monsoonctl budget list",
		Commands: []*cli.Command{
			{
				Name: "create", Usage: "create budgets that do not exist yet", ArgsUsage: "[BUDGET...]",
				Description: "A budget is WORKSPACE or WORKSPACE/NAME. With --answers all budgets of an answers file are created.\n\n" +
					"Example: monsoonctl budget create sapporo-shops",
				Flags:  []cli.Flag{&cli.StringFlag{Name: flagAnswers, Usage: "create all budgets that `FILE` names"}},
				Action: action(0, 1000, t.createBudgets),
			},
			{
				Name: "list", Usage: "list budgets with their balances", ArgsUsage: "[WORKSPACE]",
				Description: "Example: monsoonctl budget list sapporo-shops",
				Action: action(0, 1, func(ctx context.Context, cmd *cli.Command) error {
					budgets, err := openBudgetStore(ctx, cmd)
					if err != nil {
						return err
					}
					balances, err := budgets.Balances(ctx, cmd.Args().First())
					if err != nil {
						return err
					}
					return t.write(balances)
				}),
			},
			{
				Name: "show", Usage: "show a budget in each region", ArgsUsage: "BUDGET",
				Description: "Example: monsoonctl budget show sapporo-shops/main",
				Action: t.withBudget(1, func(ctx context.Context, _ *cli.Command, budgets *ctl.BudgetStore, id budget.ID) (ctl.Result, error) {
					b, err := budgets.Balance(ctx, id)
					if err != nil {
						return nil, err
					}
					return ctl.BalanceView{Balance: b, Remaining: b.Unspent()}, nil
				}),
			},
		},
	}
}

func (t *tool) createBudgets(ctx context.Context, cmd *cli.Command) error {
	var ids []budget.ID
	for _, text := range cmd.Args().Slice() {
		id, err := ctl.ParseBudgetID(text)
		if err != nil {
			return err
		}
		ids = append(ids, id)
	}
	if file := cmd.String(flagAnswers); file != "" {
		answers, err := questionnaire.Load(file)
		if err != nil {
			return ctl.InputErrorf("%v", err)
		}
		for _, b := range answers.Budgets {
			ids = append(ids, b.ID())
		}
	}
	if len(ids) == 0 {
		return ctl.InputErrorf("name a budget, or an answers file with --%s", flagAnswers)
	}
	budgets, err := openBudgetStore(ctx, cmd)
	if err != nil {
		return err
	}
	for i, id := range ids {
		if err := budgets.Create(ctx, id); err != nil {
			return fmt.Errorf("%s (%d of %d exist): %w", id, i, len(ids), err)
		}
	}
	return t.write(ctl.Message{Message: fmt.Sprintf("%d budgets exist", len(ids))})
}

func (t *tool) topUpCommand() *cli.Command {
	return &cli.Command{
		Name: "topup", Usage: "add a payment to a budget", ArgsUsage: "BUDGET AMOUNT",
		Description: "A payment with the same id is added once, however often the command is repeated, also after a lost response. A budget " +
			"keeps the ids of its last 32 payments.\n\nExample: monsoonctl topup sapporo-shops 1_000_000 --id invoice-2026-117",
		Flags: []cli.Flag{&cli.StringFlag{Name: flagID, Required: true, Usage: "the payment's `ID`, such as an invoice number"}},
		Action: t.withBudget(2, func(ctx context.Context, cmd *cli.Command, budgets *ctl.BudgetStore, id budget.ID) (ctl.Result, error) {
			amount, err := ctl.ParseAmount(cmd.Args().Get(1))
			if err != nil {
				return nil, err
			}
			v, err := budgets.AddTopUp(ctx, id, cmd.String(flagID), amount)
			if err != nil {
				return nil, err
			}
			return v, nil
		}),
	}
}

func (t *tool) keyCommand() *cli.Command {
	return &cli.Command{
		Name: "key", Usage: "issue, list, revoke and rotate API keys", Description: "Example: monsoonctl key issue sapporo-shops",
		Commands: []*cli.Command{
			{
				Name: "issue", Usage: "create a new key and show it once", ArgsUsage: "BUDGET",
				Description: "Only the key's hash is stored.\n\nExample: monsoonctl key issue sapporo-shops",
				Action: t.withBudget(1, func(ctx context.Context, _ *cli.Command, budgets *ctl.BudgetStore, id budget.ID) (ctl.Result, error) {
					key, keyID, err := budgets.IssueKey(ctx, id)
					if err != nil {
						return nil, err
					}
					return ctl.KeyView{Budget: id, Key: key, KeyID: keyID}, nil
				}),
			},
			{
				Name: "list", Usage: "list the ids of a budget's keys", ArgsUsage: "BUDGET",
				Description: "Example: monsoonctl key list sapporo-shops",
				Action: t.withBudget(1, func(ctx context.Context, _ *cli.Command, budgets *ctl.BudgetStore, id budget.ID) (ctl.Result, error) {
					b, err := budgets.Balance(ctx, id)
					if err != nil {
						return nil, err
					}
					return ctl.KeyView{Budget: id, KeyIDs: append([]string{}, b.Keys...)}, nil
				}),
			},
			{
				Name: "revoke", Usage: "revoke a key", ArgsUsage: "BUDGET KEY-ID",
				Description: "Example: monsoonctl key revoke sapporo-shops 0123456789ab",
				Action: t.withBudget(2, func(ctx context.Context, cmd *cli.Command, budgets *ctl.BudgetStore, id budget.ID) (ctl.Result, error) {
					if err := budgets.RevokeKey(ctx, id, cmd.Args().Get(1)); err != nil {
						return nil, err
					}
					return ctl.KeyView{Budget: id, Revoked: cmd.Args().Get(1)}, nil
				}),
			},
			{
				Name: "rotate", Usage: "issue a new key and revoke an old one", ArgsUsage: "BUDGET KEY-ID",
				Description: "To keep both valid for a time, use \"key issue\" and later \"key revoke\".\n\n" +
					"Example: monsoonctl key rotate sapporo-shops 0123456789ab",
				Action: t.withBudget(2, func(ctx context.Context, cmd *cli.Command, budgets *ctl.BudgetStore, id budget.ID) (ctl.Result, error) {
					v, err := budgets.RotateKey(ctx, id, cmd.Args().Get(1))
					if v.Key == "" {
						return nil, err
					}
					return v, err
				}),
			},
		},
	}
}

func (t *tool) billsCommand() *cli.Command {
	return &cli.Command{
		Name: "bills", Usage: "show the itemised statement of a budget", ArgsUsage: "BUDGET",
		Description: "Losses are listed separately from bills. CSV has only the bills; JSON has everything.\n\n" +
			"Example: monsoonctl bills sapporo-shops --since 2026-12-01 --output csv",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagSince, Usage: "start at `TIME`, as 2026-12-01 or RFC 3339"},
			&cli.StringFlag{Name: flagUntil, Usage: "end before `TIME`, as 2026-12-31 or RFC 3339"},
		},
		Action: t.withBudget(1, func(ctx context.Context, cmd *cli.Command, budgets *ctl.BudgetStore, id budget.ID) (ctl.Result, error) {
			since, err := parseTime(flagSince, cmd.String(flagSince))
			if err != nil {
				return nil, err
			}
			until, err := parseTime(flagUntil, cmd.String(flagUntil))
			if err != nil {
				return nil, err
			}
			b, err := budgets.ListBills(ctx, id, since, until)
			if err != nil {
				return nil, err
			}
			return b, nil
		}),
	}
}

func parseTime(flag, text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	for _, layout := range []string{dateLayout, time.RFC3339} {
		if t, err := time.Parse(layout, text); err == nil {
			return t, nil
		}
	}
	return time.Time{}, ctl.InputErrorf("--%s: %q is neither a date such as 2026-12-01 (UTC) nor an RFC 3339 time", flag, text)
}
