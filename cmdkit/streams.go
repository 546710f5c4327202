// Package cmdkit contains the code that the commands share: input and output
// streams, dependencies that are opened on demand, typed errors, the list, get
// and remove commands of configuration records, and the writing of changes to
// the store. The packages under admin and the stand-in's commands use it.
package cmdkit

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
)

// Streams holds a command's input, output and error streams.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// IsTerminal reports whether Out is a terminal.
	IsTerminal bool
}

// SystemStreams returns the standard streams of the process.
func SystemStreams() Streams {
	info, err := os.Stdout.Stat()
	isTerminal := err == nil && info.Mode()&os.ModeCharDevice != 0
	return Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, IsTerminal: isTerminal}
}

// Table writes rows to Out. A terminal gets aligned columns under an upper-case
// header; any other output gets tab-separated values without a header.
func (s Streams) Table(header []string, rows [][]string) error {
	if !s.IsTerminal {
		for _, row := range rows {
			if _, err := fmt.Fprintln(s.Out, strings.Join(row, "\t")); err != nil {
				return err
			}
		}
		return nil
	}
	w := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(header, "\t")))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// JSON writes v to Out as indented JSON.
func (s Streams) JSON(v any) error {
	enc := json.NewEncoder(s.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// Printf writes a formatted line to Err. Progress messages use it because
// scripts parse Out.
func (s Streams) Printf(format string, args ...any) {
	fmt.Fprintf(s.Err, format+"\n", args...)
}
