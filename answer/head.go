// Package answer decides whether the bytes that a target sends are an answer that may be
// passed on. The HTTP library accepts more than a strict client does, such as field names
// with blanks; what it makes of such bytes is not what the target meant.
package answer

import (
	"bytes"
	"strings"

	"github.com/go-faster/errors"
)

// Errors of a head that is none of an HTTP/1.x answer.
var (
	// ErrStatusLine reports a status line of another form, or of a status outside 100 to 599.
	ErrStatusLine = errors.New("status line is not that of an HTTP/1.x answer")
	// ErrLineEnd reports a line that does not end with CR and LF.
	ErrLineEnd = errors.New("line of the head does not end with CRLF")
	// ErrFieldName reports a field whose name is no token, also one that continues the line
	// before it.
	ErrFieldName = errors.New("name of a field is no token")
	// ErrFieldValue reports a field whose value has a control byte.
	ErrFieldValue = errors.New("value of a field has a control byte")
	// ErrFraming reports fields that do not determine the length of the body.
	ErrFraming = errors.New("length of the body is not clear")
)

// maxLengthDigits is the number of digits that a content length may have. A longer one is
// over the limit of any body.
const maxLengthDigits = 18

// Head checks the head of one answer while it arrives. The zero value is ready for use;
// Trailer returns one for a trailer.
type Head struct {
	// checked is the number of bytes that were checked: whole lines, or the beginning of
	// the status line.
	checked int
	// statusDone is true after the status line.
	statusDone bool
	isHTTP10   bool
	// lengths and encodings count the fields that frame the body.
	lengths, encodings int
}

// Trailer returns a Head that checks the fields after a body in chunks.
func Trailer() Head { return Head{statusDone: true} }

// Check checks the bytes of a head that have arrived, always from its first byte. It
// returns true if they contain the end of the head, and an error as soon as they cannot be
// the beginning of one.
func (h *Head) Check(b []byte) (done bool, err error) {
	if !h.statusDone {
		if done, err := h.checkStatusLine(b); err != nil || !done {
			return false, err
		}
	}
	for {
		line, ok, err := h.nextLine(b)
		if err != nil || !ok {
			return false, err
		}
		if len(line) == 0 {
			return true, h.checkFraming()
		}
		if err := h.checkField(line); err != nil {
			return false, err
		}
	}
}

// nextLine returns the next line without its end. ok is false if it has not arrived. A
// control byte other than a tab is an error at once, because the end may never come.
func (h *Head) nextLine(b []byte) (line []byte, ok bool, err error) {
	rest := b[h.checked:]
	n := bytes.IndexFunc(rest, isControl)
	if n < 0 || n == len(rest)-1 && rest[n] == '\r' {
		return nil, false, nil
	}
	switch {
	case rest[n] == '\n', rest[n] == '\r' && rest[n+1] != '\n':
		return nil, false, ErrLineEnd
	case rest[n] != '\r':
		return nil, false, ErrFieldValue
	}
	h.checked += n + len("\r\n")
	return rest[:n], true, nil
}

// isControl reports whether a character is a control byte other than a tab. Bytes from 0x80
// on, which may be no UTF-8, are none.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// statusLineForm holds the characters that are allowed at each position of the start of a
// status line.
var statusLineForm = [...]string{
	"H", "T", "T", "P", "/", "1", ".", "01", " ", "12345", digits, digits, " \r",
}

const digits = "0123456789"

// checkStatusLine checks the status line. Each byte of its start is checked when it
// arrives: more may never come.
func (h *Head) checkStatusLine(b []byte) (done bool, err error) {
	for i := range min(len(b), len(statusLineForm)) {
		if strings.IndexByte(statusLineForm[i], b[i]) < 0 {
			return false, ErrStatusLine
		}
	}
	if len(b) < len(statusLineForm) {
		return false, nil
	}
	line, ok, err := h.nextLine(b)
	if err != nil || !ok {
		return false, err
	}
	h.statusDone, h.isHTTP10 = true, line[len("HTTP/1.")] == '0'
	return true, nil
}

// checkField checks the line of one field.
func (h *Head) checkField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) {
		return ErrFieldName
	}
	value = bytes.Trim(value, " \t")
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		h.lengths++
		if len(value) == 0 || len(value) > maxLengthDigits || len(bytes.Trim(value, digits)) > 0 {
			return ErrFraming
		}
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		h.encodings++
		if !bytes.EqualFold(value, []byte("chunked")) {
			return ErrFraming
		}
	}
	return nil
}

// checkFraming checks the fields that frame the body together.
func (h *Head) checkFraming() error {
	if h.lengths+h.encodings > 1 || h.encodings > 0 && h.isHTTP10 {
		return ErrFraming
	}
	return nil
}

// isToken reports whether b is a token of RFC 9110, section 5.6.2.
func isToken(b []byte) bool {
	for _, c := range b {
		isAlphanumeric := c >= '0' && c <= '9' || c|0x20 >= 'a' && c|0x20 <= 'z'
		if !isAlphanumeric && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(b) > 0
}
