// Package ctl is the logic of the operators' tool: it compares and applies
// configuration, shows money, asks the fleet, and writes results as tables, JSON
// or CSV.
package ctl

import (
	"context"
	"errors"
	"fmt"

	"github.com/monsoonworks/monsoonworks/internal/budget"
	"github.com/monsoonworks/monsoonworks/internal/config"
	"github.com/monsoonworks/monsoonworks/internal/operator"
	"github.com/monsoonworks/monsoonworks/internal/store"
)

// Exit codes of the tool. They are part of its interface.
const (
	ExitOK = 0
	// ExitFailure is any failure without a code of its own.
	ExitFailure = 1
	// ExitInput means that flags, arguments or answers are wrong; nothing was
	// changed.
	ExitInput = 2
	// ExitConflict means that another operator was faster; nothing was changed.
	ExitConflict = 3
	// ExitUnavailable means that the store cannot be reached; nothing was changed.
	ExitUnavailable = 4
	// ExitUnknown means that a change may or may not have been made. Repeating the
	// same command is safe.
	ExitUnknown = 5
)

// ErrInput means that what the operator gave is wrong.
var ErrInput = errors.New("wrong input")

// ErrNoConfig means that no configuration is in force yet.
var ErrNoConfig = errors.New("no configuration is in force; make one with \"questionnaire\" and \"config apply\"")

// Input returns an error for wrong input.
func Input(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrInput, fmt.Sprintf(format, args...))
}

// inputErrors are the errors of other packages that tell of wrong input.
var inputErrors = []error{
	ErrInput, ErrNoConfig, config.ErrInvalid, config.ErrNoChange, store.ErrTooLarge, budget.ErrBadAmount,
	budget.ErrBadName, budget.ErrNoBudget, budget.ErrTopUpMismatch, operator.ErrNoKey,
}

// ExitCode returns the exit code for an error.
func ExitCode(err error) int {
	var conflict *config.ConflictError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, store.ErrUnknownOutcome):
		return ExitUnknown
	case errors.As(err, &conflict), errors.Is(err, operator.ErrContention):
		return ExitConflict
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, context.DeadlineExceeded):
		return ExitUnavailable
	}
	for _, input := range inputErrors {
		if errors.Is(err, input) {
			return ExitInput
		}
	}
	return ExitFailure
}

// Failure is an error as the tool writes it with JSON output.
type Failure struct {
	Error    string `json:"error"`
	ExitCode int    `json:"exit_code"`
	// Conflict tells what another operator changed.
	Conflict *Conflict `json:"conflict,omitempty"`
}

// Conflict is another operator's change.
type Conflict struct {
	Base    int64                     `json:"base_version"`
	Current int64                     `json:"current_version"`
	Author  string                    `json:"author"`
	Changes []config.ConcurrentChange `json:"changes"`
}

// NewFailure describes an error.
func NewFailure(err error) Failure {
	f := Failure{Error: err.Error(), ExitCode: ExitCode(err)}
	var conflict *config.ConflictError
	if errors.As(err, &conflict) {
		f.Conflict = &Conflict{Base: conflict.Base, Current: conflict.Current, Author: conflict.Author, Changes: conflict.Others}
	}
	return f
}

// Tables implements Result.
func (c Conflict) Tables() []Table {
	t := Table{
		Title:   fmt.Sprintf("changed since version %d, last by %s (version %d now)", c.Base, orNone(c.Author), c.Current),
		Columns: []string{"entry", "change", "value"},
	}
	for _, f := range c.Changes {
		change := "put"
		if f.Delete {
			change = "deleted"
		}
		t.Rows = append(t.Rows, []string{f.Section + "/" + f.Name, change, string(f.Value)})
	}
	return []Table{t}
}

func orNone(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
