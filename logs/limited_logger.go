package logs

import "github.com/hashicorp/go-hclog"

// gated passes over lines that would be dropped before they are formatted: in a
// storm of refusals that costs more than the few lines that are written.
type gated struct {
	hclog.Logger
	w *Writer
}

// Gate returns a logger in front of one that writes to w. Warnings and errors
// always pass.
func Gate(l hclog.Logger, w *Writer) hclog.Logger {
	return &gated{Logger: l, w: w}
}

// Log implements hclog.Logger.
func (g *gated) Log(level hclog.Level, msg string, args ...any) {
	if level >= hclog.Warn || g.GetLevel() <= level && g.w.HasRoom() {
		g.Logger.Log(level, msg, args...)
	}
}

// Trace implements hclog.Logger.
func (g *gated) Trace(msg string, args ...any) { g.Log(hclog.Trace, msg, args...) }

// Debug implements hclog.Logger.
func (g *gated) Debug(msg string, args ...any) { g.Log(hclog.Debug, msg, args...) }

// Info implements hclog.Logger.
func (g *gated) Info(msg string, args ...any) { g.Log(hclog.Info, msg, args...) }

// With implements hclog.Logger.
func (g *gated) With(args ...any) hclog.Logger { return Gate(g.Logger.With(args...), g.w) }

// Named implements hclog.Logger.
func (g *gated) Named(name string) hclog.Logger { return Gate(g.Logger.Named(name), g.w) }

// ResetNamed implements hclog.Logger.
func (g *gated) ResetNamed(name string) hclog.Logger { return Gate(g.Logger.ResetNamed(name), g.w) }
