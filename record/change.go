package record

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

// Item is one record's part of a change.
type Item struct {
	Kind Kind   `json:"kind"`
	ID   string `json:"id"`
	// Before is the record before the change; empty if there was none.
	Before json.RawMessage `json:"before,omitempty"`
	// After is the record after the change; empty if it was removed.
	After json.RawMessage `json:"after,omitempty"`
}

// Change is one accepted change of configuration together with its audit
// entry. It is one value in the store, so that neither exists without the
// other.
type Change struct {
	// Revision is the position in the log; positions are dense.
	Revision ident.Revision `json:"revision"`
	// ID tells a writer its own change apart after a lost answer.
	ID string `json:"change_id"`
	// Who made the change.
	Who string `json:"who"`
	// At is the writer's wall clock in milliseconds since the Unix epoch.
	At clock.Millis `json:"at_ms"`
	// Items are applied together or not at all.
	Items []Item `json:"items"`
}

// EncodeChange writes a change as JSON.
func EncodeChange(c Change) ([]byte, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return b, errors.Wrap(err, "encode change")
	}
	return b, nil
}

// DecodeChange reads a change from JSON.
func DecodeChange(b []byte) (Change, error) {
	var c Change
	err := json.Unmarshal(b, &c)
	if err != nil {
		return c, errors.Wrap(err, "decode change")
	}
	return c, nil
}

// Touches reports whether two changes have a record in common.
func (c Change) Touches(o Change) bool {
	seen := make(map[string]bool, len(c.Items))
	for _, it := range c.Items {
		seen[it.Kind.String()+"/"+it.ID] = true
	}
	for _, it := range o.Items {
		if seen[it.Kind.String()+"/"+it.ID] {
			return true
		}
	}
	return false
}
