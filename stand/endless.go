package stand

import (
	"fmt"
	"net"
	"strings"

	"github.com/valyala/fasthttp"
)

// EndlessHeader is the request header that makes a target send bytes without end, until the
// caller closes the connection. Its value is a key of endlessAnswers.
const EndlessHeader = "X-Endless"

// EndlessKinds are the values of EndlessHeader.
var EndlessKinds = []string{"head", "value", "length", "chunks", "small_chunks", "chunk_extension", "no_length", "trailer", "noise"}

// endlessAnswer is an answer without end: a beginning, which follows the fields of the
// target's usual head unless isBare, and what is repeated.
type endlessAnswer struct {
	isBare              bool
	beginning, repeated string
}

var endlessAnswers = map[string]endlessAnswer{
	"head":            {false, "", "X-More: 1\r\n"},
	"value":           {false, "X-More: ", "x"},
	"length":          {false, "Content-Length: 1000000000000\r\n\r\n", "x"},
	"chunks":          {false, "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("8000\r\n%s\r\n", strings.Repeat("x", 0x8000))},
	"small_chunks":    {false, "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"chunk_extension": {false, "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
	"no_length":       {false, "\r\n", "x"},
	"trailer":         {false, "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: 1\r\n"},
	"noise":           {true, "", "no answer "},
}

// sendEndless answers a request without end.
func (t *Target) sendEndless(c *fasthttp.RequestCtx, kind string) {
	answer, ok := endlessAnswers[kind]
	if !ok {
		c.Error("unknown kind of endless answer", fasthttp.StatusBadRequest)
		return
	}
	beginning := answer.beginning
	if !answer.isBare {
		fields := ""
		for k, v := range c.Response.Header.All() {
			fields += fmt.Sprintf("%s: %s\r\n", k, v)
		}
		beginning = "HTTP/1.1 200 OK\r\n" + fields + beginning
	}
	block := []byte(strings.Repeat(answer.repeated, 1+(32<<10)/len(answer.repeated)))
	c.HijackSetNoResponse(true)
	c.Hijack(func(conn net.Conn) {
		if _, err := conn.Write([]byte(beginning)); err != nil {
			return
		}
		for {
			if _, err := conn.Write(block); err != nil {
				return
			}
		}
	})
}
