package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/monsoonworks/monsoonworks/devel/check"
	"github.com/monsoonworks/monsoonworks/devel/demo"
	"github.com/monsoonworks/monsoonworks/devel/history"
	"github.com/monsoonworks/monsoonworks/devel/loadgen"
	"github.com/monsoonworks/monsoonworks/devel/report"
	"github.com/monsoonworks/monsoonworks/devel/testbed"
	"github.com/monsoonworks/monsoonworks/internal/budget"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send a deployment's load to running routers",
		Description: "Only the outcome that callers see is recorded and checked.\n\n" +
			"Example: monsoondev load --deployment yukimi --router http://127.0.0.1:8080 \\\n" +
			"           --key mw_yukimi-00_main_SECRET --duration 30s --rate 20",
		Flags: []cli.Flag{
			deploymentFlag(),
			&cli.StringSliceFlag{Name: "router", Usage: "base `URL` of a router; can be repeated", Required: true},
			&cli.StringSliceFlag{Name: "key", Usage: "API `KEY` of a workspace; can be repeated, in descending order of load", Required: true},
			&cli.DurationFlag{Name: "duration", Usage: "send load for `TIME`", Value: 20 * time.Second},
			&cli.FloatFlag{Name: "rate", Usage: "send `N` requests per second on average", Value: 20},
			&cli.Uint64Flag{Name: "seed", Usage: "random seed `NUMBER` of the load", Value: 1},
			&cli.StringFlag{Name: "report-dir", Usage: "write run.json, run.html and history.json to `DIR`"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	o, err := loadOptions(cmd)
	if err != nil {
		return err
	}
	generator, err := loadgen.New(o)
	if err != nil {
		return err
	}
	log := &history.Log{
		Deployment: o.Plan.Mix.Name, Seed: o.Plan.Seed, Rate: o.Plan.Rate, Started: time.Now(),
	}
	log.Requests = generator.Run(ctx, log.Started)
	log.Duration = max(o.Plan.Duration, time.Since(log.Started))
	run := report.New(log, check.Run(log))
	if err := report.Text(cmd.Root().Writer, run); err != nil {
		return err
	}
	if dir := cmd.String("report-dir"); dir != "" {
		if err := writeReport(dir, log, run); err != nil {
			return err
		}
	}
	if !run.Check.Clean() {
		return errViolations
	}
	return nil
}

func loadOptions(cmd *cli.Command) (loadgen.Options, error) {
	o := loadgen.Options{APIKeys: map[string]string{}, Budgets: map[string]string{}}
	spec, err := testbed.ByName(cmd.String("deployment"))
	if err != nil {
		return o, err
	}
	mix, err := loadgen.MixByName(spec.Name)
	if err != nil {
		return o, err
	}
	o.Targets = demo.LoadTargets(spec)
	o.Plan = loadgen.Plan{Seed: cmd.Uint64("seed"), Rate: cmd.Float("rate"), Duration: cmd.Duration("duration"), Mix: mix}
	if o.Plan.Rate <= 0 || o.Plan.Duration <= 0 {
		return o, errors.New("--duration and --rate must be positive")
	}
	for _, key := range cmd.StringSlice("key") {
		parts := strings.Split(key, "_")
		if len(parts) != 4 || parts[0] != "mw" {
			return o, fmt.Errorf("API key %.12q... does not have the form mw_<workspace>_<budget>_<secret>", key)
		}
		o.Plan.Workspaces = append(o.Plan.Workspaces, parts[1])
		o.APIKeys[parts[1]], o.Budgets[parts[1]] = key, string(budget.MakeID(parts[1], parts[2]))
	}
	for _, url := range cmd.StringSlice("router") {
		o.Routers = append(o.Routers, loadgen.Endpoint{Name: url, URL: strings.TrimSuffix(url, "/")})
	}
	return o, nil
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run only the stand-ins for the store, the host list and the backend servers, for use with monsoond processes",
		Description: "It writes a settings file for each process, prints the commands that start them, and serves until Ctrl-C.\n" +
			"All addresses are loopback addresses.\n\n" +
			"Example: monsoondev platform --deployment armor --small --dir armor",
		Flags: []cli.Flag{
			deploymentFlag(),
			&cli.BoolFlag{Name: "small", Usage: "run only one router, two model engines and one plain service per failure domain"},
			&cli.StringFlag{Name: "dir", Usage: "write settings and secrets to `DIR`", Required: true},
		},
		Action: runPlatform,
	}
}

func runPlatform(ctx context.Context, cmd *cli.Command) error {
	spec, err := testbed.ByName(cmd.String("deployment"))
	if err != nil {
		return err
	}
	if cmd.Bool("small") {
		spec = spec.Small()
	}
	dir := cmd.String("dir")
	if err := makeDir(dir); err != nil {
		return err
	}
	p, err := testbed.New(ctx, spec, testbed.Options{Dir: dir, HostListLag: time.Second, Latency: true})
	if err != nil {
		return err
	}
	defer p.Close()
	out := cmd.Root().Writer
	for _, name := range slices.Sorted(maps.Keys(p.ProcessSettings)) {
		file, err := writeSettings(dir, name, p.ProcessSettings[name])
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "monsoond --settings %s\n", file)
	}
	fmt.Fprintln(out, "\nrouters:")
	for name, url := range p.Routers() {
		fmt.Fprintf(out, "  %s %s\n", name, url)
	}
	fmt.Fprintln(out, "\nAPI keys:")
	for _, w := range spec.Workspaces {
		fmt.Fprintf(out, "  %s %s\n", w.Name, p.Keys[w.Name])
	}
	fmt.Fprintln(out, "\nserving until Ctrl-C")
	<-ctx.Done()
	return nil
}
