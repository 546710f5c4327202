package rigs

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"chestnutlatch/platform"
	"chestnutlatch/store"
)

const goodDocument = `{"version":3,"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"safe","service":"s","timeout":1000}]}`

func TestKVSwitches(t *testing.T) {
	tests := []struct {
		name   string
		uri    string
		body   string
		status int
	}{
		{"a document", "/document", goodDocument, 200},
		{"a malformed document", "/document", "{", 400},
		{"a document without a version", "/document", `{"routes":[]}`, 400},
		{"a mood", "/mood?mood=silent", "", 200},
		{"a mood for one daemon", "/mood?mood=down&from=127.0.0.12", "", 200},
		{"an unknown mood", "/mood?mood=cheerful", "", 400},
		{"a mood for no daemon", "/mood?mood=down&from=here", "", 400},
		{"compaction", "/compact", "", 200},
		{"lost leases", "/drop_leases", "", 200},
		{"counts", "/counts", "", 200},
		{"nothing", "/", "", 404},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var c fasthttp.RequestCtx
			c.Request.SetRequestURI(tt.uri)
			c.Request.SetBodyString(tt.body)
			newKVRig().control(&c)
			if got := c.Response.StatusCode(); got != tt.status {
				t.Errorf("status is %d, want %d: %s", got, tt.status, c.Response.Body())
			}
		})
	}
}

// TestKVServesDaemons covers the way of a document: written by the switch, read
// and watched by the client that daemons use, refused while the store is down.
func TestKVServesDaemons(t *testing.T) {
	k := newKVRig()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = k.srv.Serve(l) }()
	put := func(uri, body string) {
		var c fasthttp.RequestCtx
		c.Request.SetRequestURI(uri)
		c.Request.SetBodyString(body)
		if k.control(&c); c.Response.StatusCode() != fasthttp.StatusOK {
			t.Fatalf("%s: %s", uri, c.Response.Body())
		}
	}
	ctx, done := context.WithTimeout(context.Background(), 10*time.Second)
	defer done()
	client := platform.NewStore(l.Addr().String())
	key := platform.Adapter().Document.Key
	put("/document", goodDocument)
	e, err := client.Get(ctx, key)
	if err != nil || string(e.Value) != goodDocument {
		t.Fatalf("document is %q, %v", e.Value, err)
	}
	put("/mood?mood=down", "")
	var unavailable *store.UnavailableError
	if _, err := client.Get(ctx, key); !errors.As(err, &unavailable) || unavailable.Cause != store.CauseDown {
		t.Errorf("error while the store is down is %v", err)
	}
	put("/mood?mood=well", "")
	if _, err := client.Get(ctx, key); err != nil {
		t.Errorf("error after the outage is %v", err)
	}
}
