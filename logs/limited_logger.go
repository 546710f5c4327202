package logs

import "github.com/hashicorp/go-hclog"

// limitedLogger skips lines that its writer would drop, before they are
// formatted. During a burst of refusals, formatting dropped lines costs more than
// writing the few that are kept.
type limitedLogger struct {
	hclog.Logger
	w *Writer
}

// NewLimitedLogger wraps l, whose output is w, in a logger that does not format a
// line if w has no capacity for it or if its level is off. Warnings and errors
// are always passed to l. Loggers derived from it are limited too.
func NewLimitedLogger(l hclog.Logger, w *Writer) hclog.Logger {
	return &limitedLogger{Logger: l, w: w}
}

// Log implements hclog.Logger.
func (l *limitedLogger) Log(level hclog.Level, msg string, args ...any) {
	if level >= hclog.Warn || l.GetLevel() <= level && l.w.CanWrite() {
		l.Logger.Log(level, msg, args...)
	}
}

// Trace implements hclog.Logger.
func (l *limitedLogger) Trace(msg string, args ...any) { l.Log(hclog.Trace, msg, args...) }

// Debug implements hclog.Logger.
func (l *limitedLogger) Debug(msg string, args ...any) { l.Log(hclog.Debug, msg, args...) }

// Info implements hclog.Logger.
func (l *limitedLogger) Info(msg string, args ...any) { l.Log(hclog.Info, msg, args...) }

// With implements hclog.Logger.
func (l *limitedLogger) With(args ...any) hclog.Logger {
	return NewLimitedLogger(l.Logger.With(args...), l.w)
}

// Named implements hclog.Logger.
func (l *limitedLogger) Named(name string) hclog.Logger {
	return NewLimitedLogger(l.Logger.Named(name), l.w)
}

// ResetNamed implements hclog.Logger.
func (l *limitedLogger) ResetNamed(name string) hclog.Logger {
	return NewLimitedLogger(l.Logger.ResetNamed(name), l.w)
}
