package ctl

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"

	"github.com/olekukonko/tablewriter"
	"github.com/olekukonko/tablewriter/tw"
)

// Output formats.
const (
	FormatTable = "table"
	FormatJSON  = "json"
	FormatCSV   = "csv"
)

// Table is a part of a result in the table and CSV formats.
type Table struct {
	// Title is written above the table; CSV omits it.
	Title   string
	Columns []string
	Rows    [][]string
}

// Result is the output of a command. Its JSON form is the encoded value itself.
type Result interface{ Tables() []Table }

// CheckFormat returns an error that wraps ErrInput if format is unknown.
func CheckFormat(format string) error {
	switch format {
	case FormatTable, FormatJSON, FormatCSV:
		return nil
	}
	return InputErrorf("output %q is not table, json or csv", format)
}

// Write writes r in the given format. CSV has only the first table, because
// programs that read CSV expect a single one; JSON has the whole result.
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
