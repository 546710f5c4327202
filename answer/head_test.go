package answer

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const soundHead = "HTTP/1.1 200 OK\r\nAttempt: a1\r\nContent-Type: text/plain\r\nContent-Length: 12\r\n\r\n"

// TestHeads guards against a head that is no HTTP answer being passed on: a strict client
// refuses the whole answer, and another one may read other fields than the target meant.
func TestHeads(t *testing.T) {
	const line = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		name, head string
		want       error
	}{
		{"sound", soundHead, nil},
		{"no reason", "HTTP/1.1 200\r\n\r\n", nil},
		{"HTTP/1.0", "HTTP/1.0 404 Not Found\r\nContent-Length: 0\r\n\r\n", nil},
		{"chunks", line + "transfer-encoding: Chunked\r\n\r\n", nil},
		{"bytes over 0x7f in a value", line + "X-Name: caf\xe9\r\n\r\n", nil},
		{"tab and empty value", line + "X-A:\ta\tb\r\nX-B:\r\n\r\n", nil},
		{"status 000", "HTTP/1.1 000 OK\r\n\r\n", ErrStatusLine},
		{"no status line", "Content-Length: 0\r\n\r\n", ErrStatusLine},
		{"control byte in the reason", "HTTP/1.1 200 O\x01\r\n\r\n", ErrFieldValue},
		{"blank in a name", line + "Content Type: text/plain\r\n\r\n", ErrFieldName},
		{"blank before the colon", line + "Content-Length : 3\r\n\r\n", ErrFieldName},
		{"control byte in a name", line + "Content\x01Type: text/plain\r\n\r\n", ErrFieldValue},
		{"byte over 0x7f in a name", line + "Content\xadType: text/plain\r\n\r\n", ErrFieldName},
		{"no name", line + ": a\r\n\r\n", ErrFieldName},
		{"no colon", line + "Content-Type; text/plain\r\n\r\n", ErrFieldName},
		{"continued line", line + "X-A: a\r\n b\r\n\r\n", ErrFieldName},
		{"control byte in a value", line + "X-A: a\x00b\r\n\r\n", ErrFieldValue},
		{"delete byte in a value", line + "X-A: a\x7fb\r\n\r\n", ErrFieldValue},
		{"LF alone", line + "X-A: a\nX-B: b\r\n\r\n", ErrLineEnd},
		{"LF alone after the status line", "HTTP/1.1 200 OK\nX-B: b\r\n\r\n", ErrLineEnd},
		{"CR alone", line + "X-A: a\rX-B: b\r\n\r\n", ErrLineEnd},
		{"broken end", line + "X-A: a\r\n\rx", ErrLineEnd},
		{"signed length", line + "Content-Length: +12\r\n\r\n", ErrFraming},
		{"length with a letter", line + "Content-Length: 1a\r\n\r\n", ErrFraming},
		{"empty length", line + "Content-Length:\r\n\r\n", ErrFraming},
		{"length of 19 digits", line + "Content-Length: 1000000000000000000\r\n\r\n", ErrFraming},
		{"two lengths", line + "Content-Length: 1\r\nContent-Length: 1\r\n\r\n", ErrFraming},
		{"list of lengths", line + "Content-Length: 1, 1\r\n\r\n", ErrFraming},
		{"length and chunks", line + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", ErrFraming},
		{"unknown encoding", line + "Transfer-Encoding: chunkex\r\n\r\n", ErrFraming},
		{"encoding below chunks", line + "Transfer-Encoding: gzip, chunked\r\n\r\n", ErrFraming},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", ErrFraming},
	}
	for _, tt := range tests {
		// The result must not depend on how the head arrives, and bytes after it do not count.
		for _, piece := range []int{1, 3, len(tt.head)} {
			var h Head
			done, err := false, error(nil)
			for end := 0; end < len(tt.head) && !done && err == nil; {
				end = min(end+piece, len(tt.head))
				done, err = h.Check([]byte(tt.head[:end]))
			}
			if !errors.Is(err, tt.want) || tt.want == nil && !done {
				t.Errorf("%s, in pieces of %d: done %v, error %v, want error %v", tt.name, piece, done, err, tt.want)
			}
		}
		var h Head
		if _, err := h.Check([]byte(tt.head + "\x00body\n")); !errors.Is(err, tt.want) {
			t.Errorf("%s, with a body behind it: error %v, want %v", tt.name, err, tt.want)
		}
	}
}

// TestDefectIsFoundWhenItArrives guards against a request that waits until its deadline
// for the rest of a head that can no longer be one.
func TestDefectIsFoundWhenItArrives(t *testing.T) {
	for _, beginning := range []string{"x", "HTTP/1.1 2000", "HTTP/1.1 200 OK\r\nX\x01", "HTTP/1.1 200 OK\r\nA B: c\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n\rx"} {
		var h Head
		if done, err := h.Check([]byte(beginning)); done || err == nil {
			t.Errorf("%q: done %v, error %v, want an error", beginning, done, err)
		}
	}
}

// TestChangedByteOfAHead guards against a wrong byte by which the framing or a field name
// of an accepted head is another one for the library than for the check.
func TestChangedByteOfAHead(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b := []byte(soundHead)
		for range rapid.IntRange(1, 3).Draw(r, "changes") {
			b[rapid.IntRange(0, len(b)-1).Draw(r, "at")] = rapid.Byte().Draw(r, "byte")
		}
		var h Head
		done, err := h.Check(b)
		if err != nil || !done {
			return
		}
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(append(b, strings.Repeat("x", 100)...))), nil)
		if err != nil {
			r.Fatalf("accepted head %q is refused by a client: %v", b, err)
		}
		_ = resp.Body.Close()
		for name := range resp.Header {
			if strings.ContainsAny(name, " \t\x00") {
				r.Fatalf("accepted head %q has the field name %q", b, name)
			}
		}
	})
}

// TestTrailer guards against a trailer that is no HTTP behind a body in chunks.
func TestTrailer(t *testing.T) {
	for trailer, want := range map[string]error{"\r\n": nil, "Sum: 1\r\n\r\n": nil, "My Sum: 1\r\n\r\n": ErrFieldName, "Sum: \x01\r\n\r\n": ErrFieldValue, "Sum: 1\n\r\n": ErrLineEnd} {
		h := Trailer()
		if done, err := h.Check([]byte(trailer)); !errors.Is(err, want) || done != (want == nil) {
			t.Errorf("%q: done %v, error %v, want error %v", trailer, done, err, want)
		}
	}
}
