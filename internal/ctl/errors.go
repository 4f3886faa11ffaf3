// Package ctl implements the commands of the operators' tool monsoonctl: it
// compares and applies configuration, manages budgets and API keys, queries the
// processes of the fleet, and writes results as tables, JSON or CSV. Only
// cmd/monsoonctl and tests use it. cmd/monsoonctl defines the flags and help texts;
// messages of this package may refer to them.
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

// Exit codes of the tool. Scripts of operators depend on them.
const (
	ExitOK = 0
	// ExitFailure is returned for every error without an exit code of its own.
	ExitFailure = 1
	// ExitInput means that flags, arguments or the answers file are invalid;
	// nothing was changed.
	ExitInput = 2
	// ExitConflict means that another operator made a conflicting change first;
	// nothing was changed.
	ExitConflict = 3
	// ExitUnavailable means that the store cannot be reached or that the command timed
	// out; nothing was changed.
	ExitUnavailable = 4
	// ExitUnknown means that a change may or may not have been made. It is safe to
	// repeat the same command.
	ExitUnknown = 5
)

// ErrInput is wrapped by all errors about invalid flags, arguments and files.
var ErrInput = errors.New("invalid input")

// ErrNoConfig means that no configuration has been applied yet.
var ErrNoConfig = errors.New("no configuration is in force; create one with \"questionnaire\" and \"config apply\"")

// InputErrorf formats an error that wraps ErrInput.
func InputErrorf(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrInput, fmt.Sprintf(format, args...))
}

// inputErrors lists the errors that lead to ExitInput.
var inputErrors = []error{
	ErrInput, ErrNoConfig, config.ErrInvalid, config.ErrNoChange, store.ErrTooLarge, budget.ErrBadAmount,
	budget.ErrBadName, budget.ErrNoBudget, budget.ErrTopUpMismatch, operator.ErrNoKey,
}

// ExitCode returns the exit code for err.
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

// Failure is the JSON form of an error.
type Failure struct {
	Error    string `json:"error"`
	ExitCode int    `json:"exit_code"`
	// Conflict is set if another operator changed the configuration.
	Conflict *Conflict `json:"conflict,omitempty"`
}

// Conflict describes the changes that were made after version Base, on which the refused
// change was based. Author is the author of the latest of them.
type Conflict struct {
	Base    int64                     `json:"base_version"`
	Current int64                     `json:"current_version"`
	Author  string                    `json:"author"`
	Writes  []config.ConflictingWrite `json:"changes"`
}

// NewFailure converts an error to its JSON form.
func NewFailure(err error) Failure {
	f := Failure{Error: err.Error(), ExitCode: ExitCode(err)}
	var conflict *config.ConflictError
	if errors.As(err, &conflict) {
		f.Conflict = &Conflict{Base: conflict.Base, Current: conflict.Current, Author: conflict.Author, Writes: conflict.Others}
	}
	return f
}

// Tables implements Result.
func (c Conflict) Tables() []Table {
	t := Table{
		Title:   fmt.Sprintf("changed since version %d, last by %s (version %d now)", c.Base, orDash(c.Author), c.Current),
		Columns: []string{"entry", "change", "value"},
	}
	for _, other := range c.Writes {
		change := "put"
		if other.Delete {
			change = "deleted"
		}
		t.Rows = append(t.Rows, []string{other.Section + "/" + other.Name, change, string(other.Value)})
	}
	return []Table{t}
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
