// Package ctl implements the commands of the operators' tool monsoonctl: it
// compares and applies configuration, administers budgets, queries the processes
// of the fleet, and writes results as tables, JSON or CSV. It knows nothing of
// flags and arguments; cmd/monsoonctl parses them and calls it.
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

// Exit codes of the tool. Operators' scripts depend on them.
const (
	ExitOK = 0
	// ExitFailure means any failure that has no code of its own.
	ExitFailure = 1
	// ExitInput means that flags, arguments or the answers file are invalid;
	// nothing was changed.
	ExitInput = 2
	// ExitConflict means that another operator made a conflicting change first;
	// nothing was changed by this command.
	ExitConflict = 3
	// ExitUnavailable means that the store cannot be reached; nothing was changed.
	ExitUnavailable = 4
	// ExitUnknown means that a change may or may not have been made. The same
	// command can safely be repeated.
	ExitUnknown = 5
)

// ErrInput means that a flag, an argument or the answers file is invalid.
var ErrInput = errors.New("wrong input")

// ErrNoConfig means that the store has no configuration yet.
var ErrNoConfig = errors.New("no configuration is in force; make one with \"questionnaire\" and \"config apply\"")

// Input returns an error that wraps ErrInput.
func Input(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrInput, fmt.Sprintf(format, args...))
}

// inputErrors lists the errors that are reported with ExitInput.
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
	case errors.As(err, &conflict), errors.Is(err, operator.ErrBusy):
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

// Failure is the JSON form of an error.
type Failure struct {
	Error    string `json:"error"`
	ExitCode int    `json:"exit_code"`
	// Conflict is set if the error is a *config.ConflictError.
	Conflict *Conflict `json:"conflict,omitempty"`
}

// Conflict is a change that another operator made to the configuration after
// version Base.
type Conflict struct {
	Base    int64            `json:"base_version"`
	Current int64            `json:"current_version"`
	Author  string           `json:"author"`
	Changes []config.Foreign `json:"changes"`
}

// NewFailure returns the JSON form of err.
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
		Title:   fmt.Sprintf("changed since version %d, last by %s (version %d now)", c.Base, orDash(c.Author), c.Current),
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

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
