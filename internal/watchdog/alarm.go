// Package watchdog warns early: of budgets that will run dry at their present
// rate, and of a router that has more to do than it can. It sets gauges, and
// writes one log line per change of state.
package watchdog

import (
	"context"
	"log/slog"
	"time"
)

// State is how bad something is.
type State uint8

// States, from good to bad.
const (
	OK State = iota
	Warning
	Critical
)

// String returns the state's name.
func (s State) String() string { return [...]string{"ok", "warning", "critical"}[s] }

// level returns how the state's log lines are marked.
func (s State) level() slog.Level {
	return [...]slog.Level{slog.LevelInfo, slog.LevelWarn, slog.LevelError}[s]
}

// Times until a change of state. They keep a short peak from raising an alarm
// and a short pause from ending one.
const (
	raiseAfter = 10 * time.Second
	lowerAfter = time.Minute
)

// clearFactor is how much better than a threshold a value must be before the
// state that it raised can end.
const clearFactor = 1.5

// alarm is a state with hysteresis.
type alarm struct {
	state, next State
	// since is when next was first seen.
	since time.Time
}

// observe takes over what a value says now, and reports whether the state has
// changed.
func (a *alarm) observe(now time.Time, seen State) bool {
	if seen == a.state {
		a.next = seen
		return false
	}
	if seen != a.next {
		// On the way down, a state between counts as progress.
		if !(seen < a.state && a.next < a.state) {
			a.since = now
		}
		a.next = seen
	}
	wait := raiseAfter
	if seen < a.state {
		wait = lowerAfter
	}
	if now.Sub(a.since) < wait {
		return false
	}
	a.state = seen
	return true
}

// grade returns the state for a value of which less is worse.
func (a *alarm) grade(value, warning, critical float64) State {
	if a.state >= Warning {
		warning *= clearFactor
	}
	if a.state == Critical {
		critical *= clearFactor
	}
	switch {
	case value < critical:
		return Critical
	case value < warning:
		return Warning
	}
	return OK
}

// gradeShare returns the state for a value of which more is worse.
func (a *alarm) gradeShare(value, warning, critical float64) State {
	if a.state >= Warning {
		warning /= clearFactor
	}
	if a.state == Critical {
		critical /= clearFactor
	}
	switch {
	case value >= critical:
		return Critical
	case value >= warning:
		return Warning
	}
	return OK
}

// report writes the log line of a change of state.
func report(log *slog.Logger, what string, from, to State, args ...any) {
	log.Log(context.Background(), to.level(), what, append([]any{"from", from.String(), "to", to.String()}, args...)...)
}
