package entry

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/hashicorp/go-hclog"

	"chestnutlatch/clock"
	"chestnutlatch/guard"
	"chestnutlatch/limit"
	"chestnutlatch/record"
)

// emptyShare refuses everything.
type emptyShare struct{}

// Take implements Admitter.
func (emptyShare) Take(clock.Millis, record.Team) limit.Taking {
	return limit.Taking{Wait: 40, Level: 0.256, Rivals: 3}
}

// TestRefusalOverRateNamesTheRequest covers the line of a request that no target
// was asked for: it has the id, and what decided.
func TestRefusalOverRateNamesTheRequest(t *testing.T) {
	s := newSite(t, [2]string{good, good})
	var out bytes.Buffer
	s.Log = hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true})
	s.Dialect = guard.Dialect{Attempt: "X-Id", Timeout: "X-Left"}
	s.Shares = emptyShare{}
	if status, _, _ := s.do("GET", "/look", keyed("X-Id", "a-77"), ""); status != 429 {
		t.Fatalf("status is %d", status)
	}
	var line struct {
		ID     string  `json:"id"`
		Kind   string  `json:"kind"`
		Level  float64 `json:"share_level"`
		Rivals float64 `json:"share_rivals"`
	}
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatalf("log is %q: %v", out.String(), err)
	}
	if line.ID != "a-77" || line.Kind != "over_rate" || line.Level != 0.26 || line.Rivals != 3 {
		t.Errorf("line is %+v", line)
	}
	var written bytes.Buffer
	s.Meter.Write(&written)
	if !bytes.Contains(written.Bytes(), []byte(`chestnutlatch_rate_decisions_total{end="empty"} 1`)) {
		t.Error("the decision is not counted")
	}
}
