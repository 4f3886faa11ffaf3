package main

import (
	"context"
	"os"
	"path/filepath"

	"github.com/goccy/go-yaml"
	"github.com/urfave/cli/v3"

	"github.com/monsoonworks/monsoonworks/devel/history"
	"github.com/monsoonworks/monsoonworks/devel/report"
	"github.com/monsoonworks/monsoonworks/internal/settings"
)

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:      "report",
		Usage:     "show the report of a load test, or compare two load tests",
		ArgsUsage: "RUN.json [LATER.json]",
		Description: "RUN.json is the file run.json that the demo and load commands write with --report-dir.\nWith two files, the second run is compared with the first.\n\n" +
			"Example: monsoondev report --html run.html out/run.json\n" +
			"Example: monsoondev report before/run.json after/run.json",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "html", Usage: "write an HTML page to `FILE` instead of text to standard output; ignored with two files"},
		},
		Action: runReport,
	}
}

func runReport(_ context.Context, cmd *cli.Command) error {
	args := cmd.Args().Slice()
	if len(args) < 1 || len(args) > 2 {
		return cli.Exit("expected one or two run files; see --help", 1)
	}
	runs := make([]report.Run, len(args))
	for i, path := range args {
		if err := history.ReadFile(path, &runs[i]); err != nil {
			return err
		}
	}
	switch out := cmd.Root().Writer; {
	case len(runs) == 2:
		return report.Compare(out, runs[0], runs[1])
	case cmd.String("html") != "":
		return writeHTML(cmd.String("html"), runs[0])
	default:
		return report.Text(out, runs[0])
	}
}

func makeDir(dir string) error { return os.MkdirAll(dir, 0o700) }

// writeSettings writes the settings of a process to dir and returns the file's path.
func writeSettings(dir, name string, s settings.Settings) (string, error) {
	text, err := yaml.Marshal(s)
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, name+".yaml")
	return path, os.WriteFile(path, text, 0o600)
}
