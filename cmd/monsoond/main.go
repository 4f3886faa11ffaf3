// Command monsoond is the daemon: a router or an agent, as its settings say.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/monsoonworks/monsoonworks/internal/daemon"
	"github.com/monsoonworks/monsoonworks/internal/settings"
)

// Exit codes.
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
		Usage: "route requests of prepaid workspaces, or serve beside a backend server",
		Description: "Exit codes: 0 after a drain, 1 after a failure, 2 if the settings are wrong.\n\n" +
			"Example: monsoond --settings router.yaml",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "read the settings from `FILE`", Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
			&cli.BoolFlag{Name: "debug", Usage: "log debug lines"},
		},
		EnableShellCompletion: true,
		Action:                run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	s, err := settings.Load(cmd.String("settings"))
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
	log := slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level})).
		With("role", s.Role, "host", s.Name, "region", s.Region, "domain", s.Domain)
	return daemon.Run(ctx, s, log, stopRequests())
}

// stopRequests delivers a value for each TERM or INT signal.
func stopRequests() <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stops := make(chan struct{})
	go func() {
		for range signals {
			stops <- struct{}{}
		}
	}()
	return stops
}
