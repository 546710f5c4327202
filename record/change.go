package record

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

// Item is the change of one record within a Change.
type Item struct {
	Kind Kind   `json:"kind"`
	ID   string `json:"id"`
	// Before is the stored record before the change; empty if it did not exist.
	Before json.RawMessage `json:"before,omitempty"`
	// After is the stored record after the change; empty if it is removed.
	After json.RawMessage `json:"after,omitempty"`
}

// Change is one accepted configuration change together with its audit entry.
// Both are stored as one value, so neither can exist without the other.
type Change struct {
	// Revision is the change's position in the log. Positions have no gaps.
	Revision ident.Revision `json:"revision"`
	// ID lets a writer recognize its own change after the reply to the write
	// was lost.
	ID string `json:"change_id"`
	// Author is the operator who made the change.
	Author string `json:"who"`
	// At is the writer's wall clock in milliseconds since the Unix epoch.
	At clock.Millis `json:"at_ms"`
	// Items are applied together or not at all.
	Items []Item `json:"items"`
}

// EncodeChange encodes a change as JSON.
func EncodeChange(c Change) ([]byte, error) {
	b, err := json.Marshal(c)
	if err != nil {
		return b, errors.Wrap(err, "encode change")
	}
	return b, nil
}

// DecodeChange decodes a change from JSON. It does not check the records.
func DecodeChange(b []byte) (Change, error) {
	var c Change
	err := json.Unmarshal(b, &c)
	if err != nil {
		return c, errors.Wrap(err, "decode change")
	}
	return c, nil
}

// Overlaps reports whether the two changes have a record in common.
func (c Change) Overlaps(o Change) bool {
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
