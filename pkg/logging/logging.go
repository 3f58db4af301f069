// Package logging writes structured logs as JSON lines. Each component has a fixed
// message prefix.
package logging

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// Component is the fixed prefix of all log messages of one component.
type Component string

// Prefixes of the components.
const (
	ComponentEntry     Component = "entry: "
	ComponentRoute     Component = "route: "
	ComponentPlacement Component = "place: "
	ComponentEndpoint  Component = "endpoint: "
	ComponentScheduler Component = "sched: "
	ComponentLease     Component = "lease: "
	ComponentBundle    Component = "bundle: "
	ComponentPermit    Component = "permit: "
	ComponentStandin   Component = "standin: "
)

// Logger writes the log messages of one component.
type Logger struct {
	z         zerolog.Logger
	component Component
}

// timeFormat includes milliseconds, so that the lines of several processes can be
// sorted by time.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func init() { zerolog.TimeFieldFormat = timeFormat }

// New returns a logger without a component that writes JSON lines to w, for messages
// at the given level or above.
func New(w io.Writer, level zerolog.Level) Logger {
	return Logger{z: zerolog.New(w).Level(level).With().Timestamp().Logger()}
}

// Nop returns a logger that discards all messages.
func Nop() Logger { return Logger{z: zerolog.Nop()} }

// For returns a logger for the given component.
func (l Logger) For(p Component) Logger { return Logger{z: l.z, component: p} }

// With returns a logger that adds a field to every message.
func (l Logger) With(key, value string) Logger {
	return Logger{z: l.z.With().Str(key, value).Logger(), component: l.component}
}

// Debug starts a debug message.
func (l Logger) Debug() Event { return Event{e: l.z.Debug(), component: l.component} }

// Info starts an informational message.
func (l Logger) Info() Event { return Event{e: l.z.Info(), component: l.component} }

// Warn starts a warning.
func (l Logger) Warn() Event { return Event{e: l.z.Warn(), component: l.component} }

// Error starts an error message.
func (l Logger) Error() Event { return Event{e: l.z.Error(), component: l.component} }

// Event is a log message to which fields can be added before Msg writes it.
type Event struct {
	e         *zerolog.Event
	component Component
}

// Str adds a string field.
func (e Event) Str(key, value string) Event { e.e.Str(key, value); return e }

// Uint adds an unsigned integer field.
func (e Event) Uint(key string, value uint64) Event { e.e.Uint64(key, value); return e }

// Int adds an integer field.
func (e Event) Int(key string, value int) Event { e.e.Int(key, value); return e }

// Float adds a floating-point field.
func (e Event) Float(key string, value float64) Event { e.e.Float64(key, value); return e }

// Bool adds a boolean field.
func (e Event) Bool(key string, value bool) Event { e.e.Bool(key, value); return e }

// Dur adds a duration as a number of milliseconds, rounded to 10 microseconds.
func (e Event) Dur(key string, value time.Duration) Event {
	e.e.Float64(key, float64(value.Round(10*time.Microsecond))/float64(time.Millisecond))
	return e
}

// Err adds an error field.
func (e Event) Err(err error) Event { e.e.Err(err); return e }

// Msg writes the message with the prefix of its component.
func (e Event) Msg(text string) { e.e.Msg(string(e.component) + text) }
