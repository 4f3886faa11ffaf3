package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/monsoonworks/monsoonworks/devel/demo"
	"github.com/monsoonworks/monsoonworks/devel/faults"
	"github.com/monsoonworks/monsoonworks/devel/history"
	"github.com/monsoonworks/monsoonworks/devel/report"
	"github.com/monsoonworks/monsoonworks/devel/testbed"
	"github.com/monsoonworks/monsoonworks/internal/budget"
)

// errViolations is returned if the checker found violations; the exit code is 1.
var errViolations = errors.New("the checker found violations")

const faultsHelp = `A fault script is a YAML file:

   seed: 1
   faults:
     - {at: 5s, action: kill, target: any-router}
     - {at: 8s, action: crash-engine, target: any-engine}
     - {at: 10s, action: partition-regions}
     - {at: 15s, action: heal-regions}

Actions, with their targets in parentheses: kill, start and drain (a process,
any-router or any-agent), partition-regions, heal-regions, store-down, store-up,
store-delay (a duration, added to each store call), store-lose-answers (N, to drop
the responses to the next N writes), freeze (regions, or a router for its
callers' connections), crash-engine (a server or any-engine), top-up
(workspace:tokens).`

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a deployment in this process, send load, inject faults, check the outcome",
		Description: "Without --faults an engine crashes after a quarter of the duration, a router is killed after\n" +
			"half of it and restarted after three quarters.\n\n" + faultsHelp + "\n\n" +
			"Example: monsoondev demo --deployment armor --duration 30s --rate 80 --report-dir out",
		Flags: []cli.Flag{
			deploymentFlag(),
			&cli.DurationFlag{Name: "duration", Usage: "send load for `TIME`", Value: 20 * time.Second},
			&cli.FloatFlag{Name: "rate", Usage: "send `N` requests per second on average", Value: 50},
			&cli.Uint64Flag{Name: "seed", Usage: "random seed `NUMBER` of the load and of the default faults", Value: 1},
			&cli.StringFlag{Name: "faults", Usage: "run the fault script in `FILE`, \"none\" for no faults"},
			&cli.Int64Flag{Name: "budget", Usage: "top up each workspace's budget with `TOKENS` instead of 2,000,000"},
			&cli.BoolFlag{Name: "small", Usage: "run only one router, two model engines and one plain service per failure domain"},
			&cli.BoolFlag{Name: "stay", Usage: "keep serving after the load and print an example request"},
			&cli.StringFlag{Name: "report-dir", Usage: "write run.json, run.html and history.json to `DIR`"},
			&cli.BoolFlag{Name: "verbose", Usage: "log from level info on instead of errors only"},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, cmd *cli.Command) error {
	o, err := demoOptions(cmd)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "monsoondev")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	o.Dir = dir
	slog.SetDefault(o.Log)
	out := cmd.Root().Writer
	fmt.Fprintf(out, "starting %s: %d failure domains with stand-ins for the store, the host list and the backend servers\n",
		o.Spec.Name, len(o.Spec.Domains))
	d, err := demo.Start(ctx, o)
	if err != nil {
		return err
	}
	result, err := loadAndReport(ctx, cmd, d)
	if err == nil && cmd.Bool("stay") {
		serveUntilDone(ctx, out, d)
	}
	fmt.Fprintln(out, "draining and stopping all processes")
	err = errors.Join(err, d.Stop(context.WithoutCancel(ctx)))
	if err == nil && !result.Check.Clean() {
		err = errViolations
	}
	return err
}

func demoOptions(cmd *cli.Command) (demo.Options, error) {
	spec, err := testbed.ByName(cmd.String("deployment"))
	if err != nil {
		return demo.Options{}, err
	}
	if cmd.Bool("small") {
		spec = spec.Small()
	}
	if n := cmd.Int64("budget"); n > 0 {
		spec.TopUp = budget.Tokens(n)
	}
	level := slog.LevelError
	if cmd.Bool("verbose") {
		level = slog.LevelInfo
	}
	out := cmd.Root().Writer
	o := demo.Options{
		Spec: spec, Duration: cmd.Duration("duration"), Rate: cmd.Float("rate"), Seed: cmd.Uint64("seed"),
		Log:      slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})),
		Progress: func(p demo.Progress) { printProgress(out, p) },
	}
	if o.Duration <= 0 || o.Rate <= 0 {
		return o, errors.New("--duration and --rate must be positive")
	}
	switch file := cmd.String("faults"); file {
	case "":
		o.Faults = demo.DefaultFaults(o.Seed, o.Duration)
	case "none":
	default:
		o.Faults, err = faults.Load(file)
	}
	return o, err
}

func printProgress(out io.Writer, p demo.Progress) {
	fmt.Fprintf(out, "%5.1fs  %d of %d requests sent, %d succeeded, %d failed, %d in progress\n",
		p.Elapsed.Seconds(), p.Sent, p.Planned, p.Succeeded, p.Failed, p.Sent-p.Succeeded-p.Failed)
}

// loadAndReport sends the load, prints the report and, with --report-dir, writes it
// to files.
func loadAndReport(ctx context.Context, cmd *cli.Command, d *demo.Demo) (report.Run, error) {
	out := cmd.Root().Writer
	log, err := d.Load(ctx)
	if log == nil {
		return report.Run{}, err
	}
	run := demo.Evaluate(log)
	fmt.Fprintln(out)
	err = errors.Join(err, report.Text(out, run))
	if dir := cmd.String("report-dir"); dir != "" {
		err = errors.Join(err, writeReport(dir, log, run))
		fmt.Fprintf(out, "\nwrote run.json, run.html and history.json to %s\n", dir)
	}
	return run, err
}

// writeReport writes the history and the report of a run to dir.
func writeReport(dir string, log *history.Log, run report.Run) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	return errors.Join(
		history.WriteFile(filepath.Join(dir, "history.json"), log),
		history.WriteFile(filepath.Join(dir, "run.json"), run),
		writeHTML(filepath.Join(dir, "run.html"), run),
	)
}

func writeHTML(path string, run report.Run) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(report.HTML(f, run), f.Close())
}

// serveUntilDone prints an example request and waits until ctx ends.
func serveUntilDone(ctx context.Context, out io.Writer, d *demo.Demo) {
	workspace := d.Spec.Workspaces[0].Name
	fmt.Fprintf(out, "\nThe deployment goes on serving until you press Ctrl-C. Try:\n\n")
	routers := d.Routers()
	for _, name := range slices.Sorted(maps.Keys(routers))[:1] {
		fmt.Fprintf(out, `curl -i %s/v1/chat/completions \
  -H 'Authorization: Bearer %s' \
  -H 'Content-Type: application/json' \
  -d '{"model": "%s", "max_tokens": 40, "messages": [{"role": "user", "content": "Which flavours this week?"}]}'
`, routers[name], d.Keys[workspace], d.Spec.Model.Name)
	}
	fmt.Fprintln(out)
	<-ctx.Done()
}
