// Command monsoonctl is the operators' tool of a deployment. It parses flags and
// arguments; package ctl implements the commands.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/monsoonworks/monsoonworks/internal/config"
	"github.com/monsoonworks/monsoonworks/internal/ctl"
	"github.com/monsoonworks/monsoonworks/internal/settings"
	"github.com/monsoonworks/monsoonworks/internal/store"
	"github.com/monsoonworks/monsoonworks/internal/store/etcdgw"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args, os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes the command line args and returns the exit code.
func run(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) int {
	t := &tool{in: in, out: out, errOut: errOut}
	err := t.rootCommand().Run(ctx, args)
	if err != nil {
		t.writeError(err)
	}
	return ctl.ExitCode(err)
}

// Names of the global flags.
const (
	flagStore   = "store"
	flagHosts   = "hosts"
	flagSecret  = "secret-file"
	flagCert    = "tls-cert"
	flagKey     = "tls-key"
	flagCA      = "tls-ca"
	flagOutput  = "output"
	flagTimeout = "timeout"
	flagAuthor  = "author"
)

// defaultTimeout limits a whole command.
const defaultTimeout = 30 * time.Second

// tool holds the streams and the output format of one invocation.
type tool struct {
	in          io.Reader
	out, errOut io.Writer
	format      string
}

func (t *tool) rootCommand() *cli.Command {
	root := &cli.Command{
		Name:  "monsoonctl",
		Usage: "operate a deployment: configuration, budgets, keys, bills, status, explanations",
		Description: "Exit codes: 0 success, 1 failure, 2 invalid input, 3 conflict with another operator (nothing was changed), " +
			"4 store unavailable (nothing was changed), 5 outcome unknown (repeat the same command).\n\n" +
			"Example: monsoonctl --store http://192.0.2.1:2379 workspace list",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: flagStore, Usage: "connect to the store at `URL`; repeat the flag for each endpoint", Sources: cli.EnvVars("MONSOONCTL_STORE")},
			&cli.StringFlag{Name: flagHosts, Usage: "read the host list at `URL`", Sources: cli.EnvVars("MONSOONCTL_HOSTS")},
			&cli.StringFlag{Name: flagSecret, Usage: "read the deployment's shared secret from `FILE`", Sources: cli.EnvVars("MONSOONCTL_SECRET_FILE")},
			&cli.StringFlag{Name: flagCert, Usage: "present the certificate in `FILE` to routers and agents", Sources: cli.EnvVars("MONSOONCTL_TLS_CERT")},
			&cli.StringFlag{Name: flagKey, Usage: "read the certificate's private key from `FILE`", Sources: cli.EnvVars("MONSOONCTL_TLS_KEY")},
			&cli.StringFlag{Name: flagCA, Usage: "trust certificates signed by the authority in `FILE`", Sources: cli.EnvVars("MONSOONCTL_TLS_CA")},
			&cli.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Value: ctl.FormatTable, Usage: "set the output `FORMAT`: table, json or csv"},
			&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "stop the command after `TIME`"},
			&cli.StringFlag{Name: flagAuthor, Usage: "record `NAME` as the author of changes (default: user@host)"},
		},
		Commands: []*cli.Command{
			t.questionnaireCommand(), t.configCommand(), t.workspaceCommand(), t.budgetCommand(),
			t.topUpCommand(), t.keyCommand(), t.billsCommand(), t.statusCommand(), t.explainCommand(),
		},
		EnableShellCompletion: true,
		ConfigureShellCompletionCommand: func(c *cli.Command) {
			c.Hidden = false
			c.Usage = "print a completion script"
			c.Description = "Example: source <(monsoonctl completion bash)"
		},
		Reader: t.in, Writer: t.out, ErrWriter: t.errOut,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Before: func(ctx context.Context, cmd *cli.Command) (context.Context, error) {
			t.format = cmd.String(flagOutput)
			return ctx, ctl.CheckFormat(t.format)
		},
	}
	setUsageErrors(root)
	return root
}

// setUsageErrors makes cmd and its subcommands report usage errors as input errors.
// A command that only groups subcommands rejects unknown names.
func setUsageErrors(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return ctl.InputErrorf("%v", err) }
	if cmd.Action == nil {
		cmd.Action = func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return ctl.InputErrorf("%s has no command %q", cmd.FullName(), cmd.Args().First())
			}
			return cli.ShowSubcommandHelp(cmd)
		}
	}
	for _, sub := range cmd.Commands {
		setUsageErrors(sub)
	}
}

// writeError writes err and, for a conflict, the changes of the other operator.
func (t *tool) writeError(err error) {
	failure := ctl.NewFailure(err)
	if t.format == ctl.FormatJSON {
		encoder := json.NewEncoder(t.errOut)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(failure)
		return
	}
	fmt.Fprintln(t.errOut, "monsoonctl:", err)
	if failure.Conflict != nil {
		_ = ctl.Write(t.errOut, ctl.FormatTable, failure.Conflict)
	}
	if errors.Is(err, store.ErrUnknownOutcome) {
		fmt.Fprintln(t.errOut, "The change may or may not have been made. It is safe to repeat the same command.")
	}
}

// write writes a result to standard output in the chosen format.
func (t *tool) write(r ctl.Result) error { return ctl.Write(t.out, t.format, r) }

// action returns an action that checks the number of arguments and calls f with
// the command's timeout.
func action(minArgs, maxArgs int, f func(ctx context.Context, cmd *cli.Command) error) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		if n := cmd.Args().Len(); n < minArgs || n > maxArgs {
			return ctl.InputErrorf("%s takes %s; see --help", cmd.FullName(), argumentsText(cmd.ArgsUsage))
		}
		ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
		defer cancel()
		return f(ctx, cmd)
	}
}

func argumentsText(s string) string {
	if s == "" {
		return "no arguments"
	}
	return s
}

// openStore returns a client of the store.
func openStore(cmd *cli.Command) (store.KV, error) {
	endpoints := cmd.StringSlice(flagStore)
	if len(endpoints) == 0 {
		return nil, ctl.InputErrorf("--%s is needed for this command", flagStore)
	}
	return etcdgw.New(etcdgw.Options{Endpoints: endpoints})
}

// openBudgetStore opens the budgets of the deployment.
func openBudgetStore(ctx context.Context, cmd *cli.Command) (*ctl.BudgetStore, error) {
	kv, err := openStore(cmd)
	if err != nil {
		return nil, err
	}
	return ctl.OpenBudgetStore(ctx, kv)
}

// readConfig reads the configuration in force. It fails with ctl.ErrNoConfig if
// there is none.
func readConfig(ctx context.Context, cmd *cli.Command) (*config.Snapshot, error) {
	kv, err := openStore(cmd)
	if err != nil {
		return nil, err
	}
	return ctl.ReadDeployedConfig(ctx, kv)
}

// openFleet reads the host list and prepares calls to its processes.
func openFleet(ctx context.Context, cmd *cli.Command) (*ctl.Fleet, error) {
	return ctl.OpenFleet(ctx, cmd.String(flagHosts), cmd.String(flagSecret), settings.TLS{
		CertFile: cmd.String(flagCert), KeyFile: cmd.String(flagKey), CAFile: cmd.String(flagCA),
	})
}

// author returns the name to record as the author of a change.
func author(cmd *cli.Command) string {
	if name := cmd.String(flagAuthor); name != "" {
		return name
	}
	return ctl.OperatorName()
}
