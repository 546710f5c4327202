package record

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"sort"

	"github.com/go-faster/errors"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

// SchemaError reports a record in a schema version that cannot be read.
type SchemaError struct {
	Kind   Kind
	ID     string
	Schema Schema
}

// Error names the versions that can be read.
func (e *SchemaError) Error() string {
	return errors.Errorf("%s %q has schema version %d: this program reads 1 and 2, use a newer one",
		e.Kind, e.ID, e.Schema).Error()
}

type limitJSON struct {
	RatePerSecond uint32 `json:"rate_per_second"`
	Burst         uint32 `json:"burst"`
}

type partJSON struct {
	Service ident.Service `json:"service"`
	Weight  uint32        `json:"weight"`
}

type matchJSON struct {
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
}

// Words of schema 2 for a route's action and access.
const (
	actionOneTime = "one_time"
	actionLookup  = "lookup"
	accessOpen    = "open"
	accessKeyed   = "keyed"
)

// SchemaOf reads the schema version of a stored record.
func SchemaOf(raw json.RawMessage) (Schema, error) {
	var head struct {
		Schema Schema `json:"schema"`
	}
	if err := json.Unmarshal(raw, &head); err != nil {
		return 0, errors.Wrap(err, "record is not a JSON object with a schema number")
	}
	return head.Schema, nil
}

// Decode reads a stored record of schema 1 or 2 and checks it.
func Decode(k Kind, id string, raw json.RawMessage) (Body, error) {
	schema, err := SchemaOf(raw)
	if err != nil {
		return nil, errors.Wrapf(err, "%s %q", k, id)
	}
	if schema != SchemaFirst && schema != SchemaCurrent {
		return nil, &SchemaError{Kind: k, ID: id, Schema: schema}
	}
	body, err := decodeBody(k, id, schema, raw)
	if err != nil {
		return nil, errors.Wrapf(err, "%s %q: mend the JSON", k, id)
	}
	return body, Check(body)
}

func decodeBody(k Kind, id string, schema Schema, raw json.RawMessage) (Body, error) {
	switch k {
	case KindTeam:
		return decodeTeam(id, schema, raw)
	case KindKey:
		return decodeKey(id, raw)
	case KindRoute:
		return decodeRoute(id, schema, raw)
	case KindTarget:
		var w struct {
			Drain bool `json:"drain"`
		}
		err := json.Unmarshal(raw, &w)
		return Target{ID: ident.Target(id), Drain: w.Drain}, err
	case KindService:
		w := struct {
			FloorPercent uint32 `json:"floor_percent"`
		}{FloorPercent: DefaultFloorPercent}
		err := json.Unmarshal(raw, &w)
		return Service{ID: ident.Service(id), FloorPercent: w.FloorPercent}, err
	default:
		return nil, errors.Errorf("unknown kind %d", int(k))
	}
}

func decodeTeam(id string, schema Schema, raw json.RawMessage) (Body, error) {
	w := struct {
		Rate   uint32    `json:"rate"`
		Burst  uint32    `json:"burst"`
		Limit  limitJSON `json:"limit"`
		Weight uint32    `json:"weight"`
		Rank   uint32    `json:"rank"`
	}{Weight: 1}
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	t := Team{ID: ident.Team(id), Rate: w.Rate, Burst: w.Burst, Weight: w.Weight, Rank: w.Rank}
	if schema == SchemaCurrent {
		t.Rate = w.Limit.RatePerSecond
		t.Burst = w.Limit.Burst
	}
	return t, nil
}

func decodeKey(id string, raw json.RawMessage) (Body, error) {
	var w struct {
		Team ident.Team `json:"team"`
		Hash string     `json:"hash"`
	}
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	k := Key{ID: ident.Key(id), Team: w.Team}
	b, err := hex.DecodeString(w.Hash)
	if err != nil {
		return nil, errors.Wrap(err, "hash is not hex")
	}
	if len(b) == len(k.Hash) {
		copy(k.Hash[:], b)
	}
	return k, nil
}

func decodeRoute(id string, schema Schema, raw json.RawMessage) (Body, error) {
	w := struct {
		Host     string         `json:"host"`
		Prefix   string         `json:"prefix"`
		Match    matchJSON      `json:"match"`
		Service  ident.Service  `json:"service"`
		Priority ident.Priority `json:"priority"`
		OneTime  bool           `json:"one_time"`
		Open     bool           `json:"open"`
		Action   string         `json:"action"`
		Access   string         `json:"access"`
		Timeout  int64          `json:"timeout_ms"`

		Attempts  uint32     `json:"attempts"`
		Objective int64      `json:"objective_ms"`
		Split     []partJSON `json:"split"`
	}{Timeout: int64(DefaultTimeout), Action: actionLookup, Access: accessKeyed, Priority: ident.PriorityNormal}
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	r := Route{
		ID: ident.Route(id), Host: w.Host, Prefix: w.Prefix, Service: w.Service, Priority: w.Priority,
		OneTime: w.OneTime, Open: w.Open, Timeout: clock.Millis(w.Timeout),
		Attempts: w.Attempts, Objective: clock.Millis(w.Objective),
	}
	for _, p := range w.Split {
		r.Split = append(r.Split, Part(p))
	}
	if schema == SchemaFirst {
		return r, nil
	}
	if w.Action != actionLookup && w.Action != actionOneTime {
		return nil, errors.Errorf("action is %q: use lookup or one_time", w.Action)
	}
	if w.Access != accessOpen && w.Access != accessKeyed {
		return nil, errors.Errorf("access is %q: use open or keyed", w.Access)
	}
	r.Host, r.Prefix = w.Match.Host, w.Match.Prefix
	r.OneTime = w.Action == actionOneTime
	r.Open = w.Access == accessOpen
	return r, nil
}

// Encode writes a body in the given schema and keeps every field of old that
// this program does not write itself. old may be nil.
func Encode(b Body, schema Schema, old json.RawMessage) (json.RawMessage, error) {
	fresh, err := json.Marshal(encodeBody(b, schema))
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	old, err = withoutKnown(b, schema, old)
	if err != nil {
		return nil, err
	}
	return Merge(old, fresh)
}

// withoutKnown drops the fields of another schema version that the new
// version replaces, so that only fields unknown to this program stay.
func withoutKnown(b Body, schema Schema, old json.RawMessage) (json.RawMessage, error) {
	if len(old) == 0 {
		return nil, nil
	}
	was, err := SchemaOf(old)
	if err != nil || was == schema {
		return old, err
	}
	known, err := json.Marshal(encodeBody(b, was))
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	var fields, names map[string]json.RawMessage
	if err := json.Unmarshal(old, &fields); err != nil {
		return nil, errors.Wrap(err, "stored record is not a JSON object")
	}
	if err := json.Unmarshal(known, &names); err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	for name := range names {
		delete(fields, name)
	}
	return marshalSorted(fields)
}

func encodeBody(b Body, schema Schema) any {
	switch b := b.(type) {
	case Team:
		if schema == SchemaFirst {
			return struct {
				Schema Schema `json:"schema"`
				Rate   uint32 `json:"rate"`
				Burst  uint32 `json:"burst"`
				Weight uint32 `json:"weight"`
				Rank   uint32 `json:"rank,omitempty"`
			}{schema, b.Rate, b.Burst, b.Weight, b.Rank}
		}
		return struct {
			Schema Schema    `json:"schema"`
			Limit  limitJSON `json:"limit"`
			Weight uint32    `json:"weight"`
			Rank   uint32    `json:"rank,omitempty"`
		}{schema, limitJSON{b.Rate, b.Burst}, b.Weight, b.Rank}
	case Key:
		return struct {
			Schema Schema     `json:"schema"`
			Team   ident.Team `json:"team"`
			Hash   string     `json:"hash"`
		}{schema, b.Team, hex.EncodeToString(b.Hash[:])}
	case Route:
		return encodeRoute(b, schema)
	case Target:
		return struct {
			Schema Schema `json:"schema"`
			Drain  bool   `json:"drain"`
		}{schema, b.Drain}
	case Service:
		return struct {
			Schema       Schema `json:"schema"`
			FloorPercent uint32 `json:"floor_percent"`
		}{schema, b.FloorPercent}
	default:
		return nil
	}
}

func encodeRoute(r Route, schema Schema) any {
	var split []partJSON
	for _, p := range r.Split {
		split = append(split, partJSON(p))
	}
	if schema == SchemaFirst {
		return struct {
			Schema   Schema         `json:"schema"`
			Host     string         `json:"host"`
			Prefix   string         `json:"prefix"`
			Service  ident.Service  `json:"service"`
			Priority ident.Priority `json:"priority"`
			OneTime  bool           `json:"one_time"`
			Open     bool           `json:"open"`
			Timeout  int64          `json:"timeout_ms"`

			Attempts  uint32     `json:"attempts,omitempty"`
			Objective int64      `json:"objective_ms,omitempty"`
			Split     []partJSON `json:"split,omitempty"`
		}{
			schema, r.Host, r.Prefix, r.Service, r.Priority, r.OneTime, r.Open, int64(r.Timeout),
			r.Attempts, int64(r.Objective), split,
		}
	}
	action, access := actionLookup, accessKeyed
	if r.OneTime {
		action = actionOneTime
	}
	if r.Open {
		access = accessOpen
	}
	return struct {
		Schema   Schema         `json:"schema"`
		Match    matchJSON      `json:"match"`
		Service  ident.Service  `json:"service"`
		Priority ident.Priority `json:"priority"`
		Action   string         `json:"action"`
		Access   string         `json:"access"`
		Timeout  int64          `json:"timeout_ms"`

		Attempts  uint32     `json:"attempts,omitempty"`
		Objective int64      `json:"objective_ms,omitempty"`
		Split     []partJSON `json:"split,omitempty"`
	}{
		schema,
		matchJSON{r.Host, r.Prefix},
		r.Service, r.Priority, action, access, int64(r.Timeout),
		r.Attempts, int64(r.Objective), split,
	}
}

// knownFields holds the field names that this program writes, by schema and
// kind.
var knownFields = makeKnownFields()

func makeKnownFields() map[Schema]map[Kind]map[string]bool {
	out := map[Schema]map[Kind]map[string]bool{}
	for _, schema := range []Schema{SchemaFirst, SchemaCurrent} {
		out[schema] = map[Kind]map[string]bool{}
		full := Route{Attempts: 1, Objective: 1, Split: []Part{{}}}
		for _, b := range []Body{Team{Rank: 1}, Key{}, full, Target{}, Service{}} {
			names := map[string]bool{}
			var fields map[string]json.RawMessage
			// The program's own types always encode and decode.
			raw, _ := json.Marshal(encodeBody(b, schema))
			_ = json.Unmarshal(raw, &fields)
			for name := range fields {
				names[name] = true
			}
			out[schema][KindOf(b)] = names
		}
	}
	return out
}

// HasUnknown reports whether a stored record has fields that this program does
// not write.
func HasUnknown(k Kind, raw json.RawMessage) bool {
	schema, err := SchemaOf(raw)
	if err != nil {
		return false
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return false
	}
	known := knownFields[schema][k]
	for name := range fields {
		if !known[name] {
			return true
		}
	}
	return false
}

// Merge lays the fields of fresh over those of old. Fields that only old has
// stay. The result has its fields in sorted order.
func Merge(old, fresh json.RawMessage) (json.RawMessage, error) {
	fields := map[string]json.RawMessage{}
	if len(old) > 0 {
		if err := json.Unmarshal(old, &fields); err != nil {
			return nil, errors.Wrap(err, "stored record is not a JSON object")
		}
	}
	var over map[string]json.RawMessage
	if err := json.Unmarshal(fresh, &over); err != nil {
		return nil, errors.Wrap(err, "new record is not a JSON object")
	}
	for k, v := range over {
		fields[k] = v
	}
	return marshalSorted(fields)
}

func marshalSorted(fields map[string]json.RawMessage) (json.RawMessage, error) {
	names := make([]string, 0, len(fields))
	for k := range fields {
		names = append(names, k)
	}
	sort.Strings(names)
	var buf bytes.Buffer
	buf.WriteByte('{')
	for i, k := range names {
		if i > 0 {
			buf.WriteByte(',')
		}
		name, err := json.Marshal(k)
		if err != nil {
			return nil, err
		}
		buf.Write(name)
		buf.WriteByte(':')
		if err := json.Compact(&buf, fields[k]); err != nil {
			return nil, err
		}
	}
	buf.WriteByte('}')
	return buf.Bytes(), nil
}
