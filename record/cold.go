package record

import "encoding/json"

// dropColdLimits returns old without the limits of cold targets that b, a service, does
// not have, so that operators can remove them.
func dropColdLimits(b Body, old json.RawMessage) json.RawMessage {
	s, ok := b.(Service)
	var fields map[string]json.RawMessage
	if !ok || json.Unmarshal(old, &fields) != nil {
		return old
	}
	before := len(fields)
	if s.ColdStart == 0 {
		delete(fields, "cold_start_ms")
	}
	if s.ColdRate == 0 {
		delete(fields, "cold_rate")
	}
	if len(fields) == before {
		return old
	}
	dropped, err := marshalSorted(fields)
	if err != nil {
		return old
	}
	return dropped
}
