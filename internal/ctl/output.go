package ctl

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"

	"github.com/olekukonko/tablewriter"
	"github.com/olekukonko/tablewriter/tw"
)

// Output formats, values of the flag --output.
const (
	FormatTable = "table"
	FormatJSON  = "json"
	FormatCSV   = "csv"
)

// Table is one table of a result. Without columns or rows, only the title is
// written.
type Table struct {
	// Title is written above the table; CSV omits it.
	Title   string
	Columns []string
	Rows    [][]string
}

// Result is the result of a command. JSON output encodes the value itself, other
// formats its tables.
type Result interface{ Tables() []Table }

// CheckFormat returns an error that wraps ErrInput if format is unknown.
func CheckFormat(format string) error {
	switch format {
	case FormatTable, FormatJSON, FormatCSV:
		return nil
	}
	return Input("output %q is not table, json or csv", format)
}

// Write writes a result. CSV output holds only the first table, so that programs
// can parse it; JSON output holds everything.
func Write(w io.Writer, format string, r Result) error {
	switch format {
	case FormatJSON:
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	case FormatCSV:
		return writeCSV(w, r.Tables())
	}
	for i, t := range r.Tables() {
		if i > 0 {
			fmt.Fprintln(w)
		}
		if err := writeTable(w, t); err != nil {
			return err
		}
	}
	return nil
}

func writeCSV(w io.Writer, tables []Table) error {
	if len(tables) == 0 {
		return nil
	}
	out := csv.NewWriter(w)
	if err := out.Write(tables[0].Columns); err != nil {
		return err
	}
	if err := out.WriteAll(tables[0].Rows); err != nil {
		return err
	}
	return out.Error()
}

func writeTable(w io.Writer, t Table) error {
	if t.Title != "" {
		fmt.Fprintln(w, t.Title)
	}
	if len(t.Columns) == 0 || len(t.Rows) == 0 {
		return nil
	}
	out := tablewriter.NewTable(w,
		tablewriter.WithRendition(tw.Rendition{Borders: tw.BorderNone, Settings: tw.Settings{
			Separators: tw.SeparatorsNone, Lines: tw.LinesNone,
		}}),
		tablewriter.WithHeaderAutoFormat(tw.Off),
		tablewriter.WithHeaderAlignment(tw.AlignLeft),
		tablewriter.WithRowAutoWrap(tw.WrapNone),
		tablewriter.WithHeaderAutoWrap(tw.WrapNone),
	)
	out.Header(t.Columns)
	if err := out.Bulk(t.Rows); err != nil {
		return err
	}
	return out.Render()
}
