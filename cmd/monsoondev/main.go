// Command monsoondev contains the development tools: a demo of a whole deployment
// with stand-ins for the external systems, a load generator, reports, and the
// stand-ins alone. It is not part of a release.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "monsoondev:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "monsoondev",
		Usage: "run and measure a deployment with stand-ins for the external systems",
		Description: "Exit codes: 0 on success, 1 after a failure or if the checker found a violation.\n\n" +
			"Example: monsoondev demo --deployment yukimi",
		Commands:              []*cli.Command{demoCommand(), loadCommand(), reportCommand(), platformCommand()},
		EnableShellCompletion: true,
	}
}

// deploymentFlag selects one of the two example deployments.
func deploymentFlag() cli.Flag {
	return &cli.StringFlag{Name: "deployment", Usage: "`NAME` of the example deployment: yukimi or armor", Value: "yukimi"}
}
