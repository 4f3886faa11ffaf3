// Command monsoond runs one process of a deployment. The role in its settings
// selects a router, an agent, a gate or a relay.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/rcrowley/go-metrics"
	"github.com/urfave/cli/v3"

	"github.com/monsoonworks/monsoonworks/internal/daemon"
	"github.com/monsoonworks/monsoonworks/internal/logsink"
	"github.com/monsoonworks/monsoonworks/internal/settings"
)

const (
	exitFailure  = 1
	exitSettings = 2
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "monsoond:", err)
		os.Exit(exitFailure)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "monsoond",
		Usage: "run a router, agent, gate or relay of a deployment",
		Description: "Exit codes: 0 after a drain, 1 after a failure, 2 if the settings are invalid.\n\n" +
			"Example: monsoond --settings router.yaml",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "read the settings from `FILE`", Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
			&cli.BoolFlag{Name: "debug", Usage: "log at debug level"},
		},
		EnableShellCompletion: true,
		Action:                run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	path := cmd.String("settings")
	s, err := settings.Load(path)
	if err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	if cmd.Bool("check") {
		return nil
	}
	level := slog.LevelInfo
	if cmd.Bool("debug") {
		level = slog.LevelDebug
	}
	registry := metrics.NewRegistry()
	sink := logsink.New(os.Stdout, registry)
	log := slog.New(slog.NewJSONHandler(sink, &slog.HandlerOptions{Level: level})).
		With("host", s.Name)
	log.Info("process started", "role", s.Role, "region", s.Region, "domain", s.Domain)
	return runWithSink(ctx, sink, func(ctx context.Context) error {
		err := daemon.Run(ctx, path, s, registry, log, daemon.Signals{
			Stops: signalEvents(syscall.SIGTERM, syscall.SIGINT), Reloads: signalEvents(syscall.SIGHUP),
		})
		log.Info("process ended", "error", err)
		return err
	})
}

// runWithSink runs the sink until run has returned, so that the last log lines are
// written too.
func runWithSink(ctx context.Context, sink *logsink.Sink, run func(context.Context) error) error {
	sinkDone := make(chan error, 1)
	sinkCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	go func() { sinkDone <- sink.Run(sinkCtx) }()
	err := run(ctx)
	stop()
	return errors.Join(err, <-sinkDone)
}

// signalEvents returns a channel that delivers one value for each received signal.
// Signals that arrive while two are undelivered are dropped.
func signalEvents(sigs ...os.Signal) <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, sigs...)
	events := make(chan struct{})
	go func() {
		for range signals {
			events <- struct{}{}
		}
	}()
	return events
}
