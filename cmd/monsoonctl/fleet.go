package main

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/monsoonworks/monsoonworks/internal/admin"
	"github.com/monsoonworks/monsoonworks/internal/ctl"
)

func (t *tool) statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show the state of the fleet",
		Description: "Shows the routers and agents of the host list, the configuration in force in each failure domain, the holder of each " +
			"account, and the amounts that are out of reach. It works while the store is down.\n\n" +
			"Example: monsoonctl --hosts http://192.0.2.1/hosts --secret-file secret status",
		Action: action(0, 0, func(ctx context.Context, cmd *cli.Command) error {
			kv, err := openStore(cmd)
			if err != nil {
				return err
			}
			fleet, err := openFleet(ctx, cmd)
			if err != nil {
				return err
			}
			return t.write(ctl.ReadStatus(ctx, fleet, kv))
		}),
	}
}

func (t *tool) explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show the outcome of a request, or why requests were refused", ArgsUsage: "REQUEST-ID",
		Description: "The request id is in the header X-Request-Id of each response. Routers keep records of requests for an hour.\n\n" +
			"Example: monsoonctl explain 0193a1b2-0000-7000-8000-000000000000",
		Action: action(1, 1, t.explain),
		Commands: []*cli.Command{{
			Name: "refusal", Usage: "count the refused and failed requests of a workspace by code, with an example and the reason", ArgsUsage: "WORKSPACE",
			Description: "Example: monsoonctl explain refusal sapporo-shops --since 10m",
			Flags:       []cli.Flag{&cli.DurationFlag{Name: flagSince, Value: admin.MaxAge, Usage: "look back for `TIME`, at most 1h"}},
			Action: action(1, 1, func(ctx context.Context, cmd *cli.Command) error {
				since := cmd.Duration(flagSince)
				if since <= 0 || since > admin.MaxAge {
					return ctl.InputErrorf("--%s must be above 0 and at most %s", flagSince, admin.MaxAge)
				}
				fleet, err := openFleet(ctx, cmd)
				if err != nil {
					return err
				}
				refusals, err := ctl.ExplainRefusals(ctx, fleet, cmd.Args().First(), since.Round(time.Second))
				if err != nil {
					return err
				}
				return t.write(refusals)
			}),
		}},
	}
}

func (t *tool) explain(ctx context.Context, cmd *cli.Command) error {
	requestID, err := uuid.Parse(cmd.Args().First())
	if err != nil {
		return ctl.InputErrorf("%q is not a request id", cmd.Args().First())
	}
	fleet, err := openFleet(ctx, cmd)
	if err != nil {
		return err
	}
	// If the store cannot be read or --store is missing, budgets is nil and the
	// explanation says that the bill was not checked.
	budgets, _ := openBudgetStore(ctx, cmd)
	explanation, err := ctl.Explain(ctx, fleet, budgets, requestID)
	if err != nil {
		return err
	}
	return t.write(explanation)
}
