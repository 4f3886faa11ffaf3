package main

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/monsoonworks/monsoonworks/internal/ctl"
	"github.com/monsoonworks/monsoonworks/internal/questionnaire"
)

const (
	flagFile = "file"
	flagBase = "base"
	flagYes  = "yes"
)

func (t *tool) questionnaireCommand() *cli.Command {
	return &cli.Command{
		Name:  "questionnaire",
		Usage: "write and check the answers from which the configuration is generated",
		Description: "These commands work without the store.\n\n" +
			"Example: monsoonctl questionnaire check answers.yaml",
		Commands: []*cli.Command{
			{
				Name: "ask", Usage: "ask the questions and write an answers file",
				Description: "Example: monsoonctl questionnaire ask --file answers.yaml",
				Flags:       []cli.Flag{&cli.StringFlag{Name: flagFile, Required: true, Usage: "write the answers to `FILE`, which must not exist"}},
				// The action has no timeout because a person answers the questions.
				Action: func(_ context.Context, cmd *cli.Command) error { return t.askQuestions(cmd) },
			},
			{
				Name: "check", Usage: "check an answers file", ArgsUsage: "ANSWERS",
				Description: "Errors name the line, the question and what is allowed.\n\nExample: monsoonctl questionnaire check answers.yaml",
				Action: action(1, 1, func(_ context.Context, cmd *cli.Command) error {
					if _, err := generate(cmd); err != nil {
						return err
					}
					return t.write(ctl.Message{Message: "the answers are complete"})
				}),
			},
			{
				Name: "generate", Usage: "show the configuration generated from an answers file", ArgsUsage: "ANSWERS",
				Description: "Example: monsoonctl questionnaire generate answers.yaml --output json",
				Action: action(1, 1, func(_ context.Context, cmd *cli.Command) error {
					g, err := generate(cmd)
					if err != nil {
						return err
					}
					return t.write(ctl.GeneratedView{Writes: g.Writes, Explanations: g.Explanations, Budgets: g.Budgets})
				}),
			},
		},
	}
}

// generate generates the configuration from the answers file that the first
// argument names.
func generate(cmd *cli.Command) (*questionnaire.Generated, error) {
	answers, err := questionnaire.Load(cmd.Args().First())
	if err != nil {
		return nil, ctl.InputErrorf("%v", err)
	}
	g, err := answers.Generate()
	if err != nil {
		return nil, ctl.InputErrorf("%v", err)
	}
	return g, nil
}

func (t *tool) askQuestions(cmd *cli.Command) error {
	path := cmd.String(flagFile)
	if _, err := os.Stat(path); err == nil {
		return ctl.InputErrorf("%s exists already", path)
	}
	answers, err := questionnaire.Ask(t.in, t.out)
	if err != nil {
		return ctl.InputErrorf("%v", err)
	}
	if err := os.WriteFile(path, answers, 0o644); err != nil {
		return err
	}
	if _, err := questionnaire.Parse(answers); err != nil {
		return ctl.InputErrorf("the answers are in %s, and some contradict each other; correct them there:\n%v", path, err)
	}
	fmt.Fprintf(t.out, "\nThe answers are in %s.\n", path)
	return nil
}

func (t *tool) configCommand() *cli.Command {
	return &cli.Command{
		Name: "config", Usage: "compare, apply and explain the configuration",
		Description: "Example: monsoonctl config diff answers.yaml",
		Commands: []*cli.Command{
			{
				Name: "diff", Usage: "compare the generated configuration with the one in force", ArgsUsage: "ANSWERS",
				Description: "Each value is shown with the answer that determines it. Pass the version to \"config apply --base\".\n\n" +
					"Example: monsoonctl config diff answers.yaml",
				Action: action(1, 1, t.diff),
			},
			{
				Name: "apply", Usage: "put the generated configuration in force", ArgsUsage: "ANSWERS",
				Description: "The change is one transaction on top of the version that was compared. If another operator changed the " +
					"configuration since, nothing is changed, the other change is shown, and the exit code is 3.\n\n" +
					"Example: monsoonctl config apply answers.yaml --base 1234",
				Flags: []cli.Flag{
					&cli.Int64Flag{Name: flagBase, Value: -1, Usage: "apply on top of `VERSION`, as shown by \"config diff\"; 0 for a new deployment"},
					&cli.BoolFlag{Name: flagYes, Usage: "do not ask before applying"},
				},
				Action: action(1, 1, t.apply),
			},
			{
				Name: "show", Usage: "show the configuration in force", ArgsUsage: "[SECTION[/NAME]]",
				Description: "Example: monsoonctl config show workspace/sapporo-shops",
				Action: action(0, 1, func(ctx context.Context, cmd *cli.Command) error {
					kv, err := openStore(cmd)
					if err != nil {
						return err
					}
					v, err := ctl.ReadConfigView(ctx, kv, cmd.Args().First())
					if err != nil {
						return err
					}
					return t.write(v)
				}),
			},
			{
				Name: "explain", Usage: "show which answer determines a value, and how", ArgsUsage: "ANSWERS [SECTION[/NAME] [FIELD]]",
				Description: "It works without the store.\n\nExample: monsoonctl config explain answers.yaml deployment/main refusal_weight",
				Action: action(1, 3, func(_ context.Context, cmd *cli.Command) error {
					g, err := generate(cmd)
					if err != nil {
						return err
					}
					reasons, err := ctl.ExplainValues(g, cmd.Args().Get(1), cmd.Args().Get(2))
					if err != nil {
						return err
					}
					return t.write(reasons)
				}),
			},
		},
	}
}

func (t *tool) diff(ctx context.Context, cmd *cli.Command) error {
	g, err := generate(cmd)
	if err != nil {
		return err
	}
	kv, err := openStore(cmd)
	if err != nil {
		return err
	}
	d, err := ctl.DiffConfig(ctx, kv, g)
	if err != nil {
		return err
	}
	return t.write(d)
}

func (t *tool) apply(ctx context.Context, cmd *cli.Command) error {
	g, err := generate(cmd)
	if err != nil {
		return err
	}
	kv, err := openStore(cmd)
	if err != nil {
		return err
	}
	d, err := ctl.DiffConfig(ctx, kv, g)
	if err != nil {
		return err
	}
	base := cmd.Int64(flagBase)
	if base < 0 {
		base = d.Version
		if !cmd.Bool(flagYes) && len(d.Changes) > 0 {
			if err := t.confirm(d); err != nil {
				return err
			}
			// The timeout starts again, so that the wait for the confirmation does not count.
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), cmd.Duration(flagTimeout))
			defer cancel()
		}
	}
	if err := d.Apply(ctx, kv, base, author(cmd)); err != nil {
		return err
	}
	return t.write(d)
}

// confirm shows the differences on standard error and asks whether to apply them.
// Any answer but "yes" is an error.
func (t *tool) confirm(d *ctl.ConfigDiff) error {
	if err := ctl.Write(t.errOut, ctl.FormatTable, d); err != nil {
		return err
	}
	fmt.Fprint(t.errOut, "\nApply this? (yes or no) [no]: ")
	line, _ := bufio.NewReader(t.in).ReadString('\n')
	if strings.TrimSpace(line) != "yes" {
		return ctl.InputErrorf("not confirmed, nothing was applied")
	}
	return nil
}
