// Package cmdkit holds what the operators' commands share: streams, lazily
// built dependencies, typed errors, tables and the writing of changes.
package cmdkit

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
)

// Streams are a command's input and outputs.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// IsTerminal tells that Out is read by a person.
	IsTerminal bool
}

// SystemStreams returns the process's own streams.
func SystemStreams() Streams {
	info, err := os.Stdout.Stat()
	terminal := err == nil && info.Mode()&os.ModeCharDevice != 0
	return Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, IsTerminal: terminal}
}

// Table writes rows in columns. On a terminal it has a heading; for scripts it
// is plain tab-separated text.
func (s Streams) Table(head []string, rows [][]string) error {
	if !s.IsTerminal {
		for _, r := range rows {
			if _, err := fmt.Fprintln(s.Out, strings.Join(r, "\t")); err != nil {
				return err
			}
		}
		return nil
	}
	w := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(head, "\t")))
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	return w.Flush()
}

// JSON writes a value as indented JSON.
func (s Streams) JSON(v any) error {
	enc := json.NewEncoder(s.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// Printf writes a line for people to the error stream, so that Out stays
// clean for scripts.
func (s Streams) Printf(format string, args ...any) {
	fmt.Fprintf(s.Err, format+"\n", args...)
}
