// Package watchdog raises early alarms: for budgets that will be exhausted soon at their
// current rate of use, and for an overloaded router. It sets gauges and writes one log
// line per change of state.
//
// The daemon runs one Watchdog per router and provides the forecasts and the load. The
// package must not know where these come from.
package watchdog

import (
	"context"
	"log/slog"
	"time"
)

// State is the severity of an alarm.
type State uint8

// The states, in order of severity.
const (
	OK State = iota
	Warning
	Critical
)

// String returns the state's name.
func (s State) String() string { return [...]string{"ok", "warning", "critical"}[s] }

// logLevel returns the level of log lines about a change to s.
func (s State) logLevel() slog.Level {
	return [...]slog.Level{slog.LevelInfo, slog.LevelWarn, slog.LevelError}[s]
}

const (
	// raiseDelay is how long a worse state must last before it is entered, so that a
	// short peak raises no alarm.
	raiseDelay = 10 * time.Second
	// lowerDelay is how long a better state must last before it is entered, so that
	// a short lull does not end an alarm.
	lowerDelay = time.Minute
)

// hysteresisFactor is the factor by which a value must be better than a threshold before
// the state of that threshold can end.
const hysteresisFactor = 1.5

// alarm is a state with hysteresis.
type alarm struct {
	// pending is the state that was observed last. It becomes the state of the alarm
	// if it lasts for the delay.
	state, pending State
	// pendingSince is when the delay of pending began.
	pendingSince time.Time
}

// observe updates the alarm with the state that the current value indicates, and reports
// whether the state of the alarm has changed.
func (a *alarm) observe(now time.Time, observed State) bool {
	if observed == a.state {
		a.pending = observed
		return false
	}
	if observed != a.pending {
		// While the state improves, an intermediate state does not restart the delay.
		if !(observed < a.state && a.pending < a.state) {
			a.pendingSince = now
		}
		a.pending = observed
	}
	delay := raiseDelay
	if observed < a.state {
		delay = lowerDelay
	}
	if now.Sub(a.pendingSince) < delay {
		return false
	}
	a.state = observed
	return true
}

// stateIfLow returns the state that a value indicates, if low values are bad.
func (a *alarm) stateIfLow(value, warning, critical float64) State {
	if a.state >= Warning {
		warning *= hysteresisFactor
	}
	if a.state == Critical {
		critical *= hysteresisFactor
	}
	switch {
	case value < critical:
		return Critical
	case value < warning:
		return Warning
	}
	return OK
}

// stateIfHigh returns the state that a value indicates, if high values are bad.
func (a *alarm) stateIfHigh(value, warning, critical float64) State {
	if a.state >= Warning {
		warning /= hysteresisFactor
	}
	if a.state == Critical {
		critical /= hysteresisFactor
	}
	switch {
	case value >= critical:
		return Critical
	case value >= warning:
		return Warning
	}
	return OK
}

// logTransition logs a change of state at the level of the new state.
func logTransition(log *slog.Logger, msg string, from, to State, args ...any) {
	log.Log(context.Background(), to.logLevel(), msg, append([]any{"from", from.String(), "to", to.String()}, args...)...)
}
