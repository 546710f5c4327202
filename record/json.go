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

// SchemaError reports a record with a schema version that this program does not
// support.
type SchemaError struct {
	Kind   Kind
	ID     string
	Schema Schema
}

// Error names the record, its version and the supported versions.
func (e *SchemaError) Error() string {
	return errors.Errorf("%s %q has schema version %d: this program reads versions 1 and 2, use a newer program",
		e.Kind, e.ID, e.Schema).Error()
}

type teamLimitJSON struct {
	RatePerSecond uint32 `json:"rate_per_second"`
	Burst         uint32 `json:"burst"`
}

type weightedServiceJSON struct {
	Service ident.Service `json:"service"`
	Weight  uint32        `json:"weight"`
}

type routeMatchJSON struct {
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
}

// Values of the action and access fields of a route in schema 2.
const (
	actionOneTime = "one_time"
	actionLookup  = "lookup"
	accessOpen    = "open"
	accessKeyed   = "keyed"
)

// SchemaOf returns the schema version of a stored record, 0 if it has none. It
// fails if raw is not a JSON object or the version is not an integer.
func SchemaOf(raw json.RawMessage) (Schema, error) {
	var head struct {
		Schema Schema `json:"schema"`
	}
	if err := json.Unmarshal(raw, &head); err != nil {
		return 0, errors.Wrap(err, "record is not a JSON object with a numeric schema field")
	}
	return head.Schema, nil
}

// Decode decodes a stored record of schema version 1 or 2 and checks it. It
// returns a *SchemaError for other versions and an *InvalidError, together
// with the body, if fields are invalid. Missing fields get their defaults.
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
		return nil, errors.Wrapf(err, "%s %q cannot be decoded, correct its JSON", k, id)
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
		var stored struct {
			Drain bool `json:"drain"`
		}
		err := json.Unmarshal(raw, &stored)
		return Target{ID: ident.Target(id), Drain: stored.Drain}, err
	case KindService:
		stored := struct {
			FloorPercent uint32       `json:"floor_percent"`
			ColdStart    clock.Millis `json:"cold_start_ms"`
			ColdRate     uint32       `json:"cold_rate"`
		}{FloorPercent: DefaultFloorPercent}
		err := json.Unmarshal(raw, &stored)
		return Service{ID: ident.Service(id), FloorPercent: stored.FloorPercent, ColdStart: stored.ColdStart, ColdRate: stored.ColdRate}, err
	case KindDataCentre:
		var stored struct {
			Evacuated bool `json:"evacuated"`
		}
		err := json.Unmarshal(raw, &stored)
		return DataCentre{ID: ident.DataCentre(id), Evacuated: stored.Evacuated}, err
	default:
		return nil, errors.Errorf("unknown record kind %d", int(k))
	}
}

func decodeTeam(id string, schema Schema, raw json.RawMessage) (Body, error) {
	stored := struct {
		Rate   uint32        `json:"rate"`
		Burst  uint32        `json:"burst"`
		Limit  teamLimitJSON `json:"limit"`
		Weight uint32        `json:"weight"`
		Rank   uint32        `json:"rank"`

		Regions []ident.Region `json:"regions"`
	}{Weight: 1}
	if err := json.Unmarshal(raw, &stored); err != nil {
		return nil, err
	}
	t := Team{ID: ident.Team(id), Rate: stored.Rate, Burst: stored.Burst, Weight: stored.Weight, Rank: stored.Rank, Regions: stored.Regions}
	if schema == SchemaCurrent {
		t.Rate = stored.Limit.RatePerSecond
		t.Burst = stored.Limit.Burst
	}
	return t, nil
}

func decodeKey(id string, raw json.RawMessage) (Body, error) {
	var stored struct {
		Team ident.Team `json:"team"`
		Hash string     `json:"hash"`
	}
	if err := json.Unmarshal(raw, &stored); err != nil {
		return nil, err
	}
	k := Key{ID: ident.Key(id), Team: stored.Team}
	b, err := hex.DecodeString(stored.Hash)
	if err != nil {
		return nil, errors.Wrap(err, "hash is not hexadecimal")
	}
	if len(b) == len(k.Hash) {
		copy(k.Hash[:], b)
	}
	return k, nil
}

func decodeRoute(id string, schema Schema, raw json.RawMessage) (Body, error) {
	stored := struct {
		Host     string         `json:"host"`
		Prefix   string         `json:"prefix"`
		Match    routeMatchJSON `json:"match"`
		Service  ident.Service  `json:"service"`
		Priority ident.Priority `json:"priority"`
		OneTime  bool           `json:"one_time"`
		Open     bool           `json:"open"`
		Action   string         `json:"action"`
		Access   string         `json:"access"`
		Timeout  int64          `json:"timeout_ms"`

		Attempts  uint32                `json:"attempts"`
		Objective int64                 `json:"objective_ms"`
		Split     []weightedServiceJSON `json:"split"`
		Regions   []ident.Region        `json:"regions"`
	}{Timeout: int64(DefaultTimeout), Action: actionLookup, Access: accessKeyed, Priority: ident.PriorityNormal}
	if err := json.Unmarshal(raw, &stored); err != nil {
		return nil, err
	}
	r := Route{
		ID: ident.Route(id), Host: stored.Host, Prefix: stored.Prefix, Service: stored.Service, Priority: stored.Priority,
		OneTime: stored.OneTime, Open: stored.Open, Timeout: clock.Millis(stored.Timeout),
		Attempts: stored.Attempts, Objective: clock.Millis(stored.Objective), Regions: stored.Regions,
	}
	for _, p := range stored.Split {
		r.Split = append(r.Split, WeightedService(p))
	}
	if schema == SchemaFirst {
		return r, nil
	}
	if stored.Action != actionLookup && stored.Action != actionOneTime {
		return nil, errors.Errorf("action is %q: use lookup or one_time", stored.Action)
	}
	if stored.Access != accessOpen && stored.Access != accessKeyed {
		return nil, errors.Errorf("access is %q: use open or keyed", stored.Access)
	}
	r.Host, r.Prefix = stored.Match.Host, stored.Match.Prefix
	r.OneTime = stored.Action == actionOneTime
	r.Open = stored.Access == accessOpen
	return r, nil
}

// Encode encodes a body in the given schema version. It keeps the fields of old,
// the stored record, that are unknown to this program. It also keeps a known
// optional field of old that is zero in the body, because a zero value is omitted
// from the new JSON. old may be nil.
func Encode(b Body, schema Schema, old json.RawMessage) (json.RawMessage, error) {
	old = dropColdLimits(b, old)
	fresh, err := json.Marshal(encodeBody(b, schema))
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	old, err = dropReplacedFields(b, schema, old)
	if err != nil {
		return nil, err
	}
	return MergeFields(old, fresh)
}

// dropReplacedFields returns old without the fields that b has when it is encoded
// in old's schema version. If that version is schema, it returns old unchanged,
// because MergeFields then replaces the fields. Other fields remain.
func dropReplacedFields(b Body, schema Schema, old json.RawMessage) (json.RawMessage, error) {
	if len(old) == 0 {
		return nil, nil
	}
	oldSchema, err := SchemaOf(old)
	if err != nil || oldSchema == schema {
		return old, err
	}
	replaced, err := json.Marshal(encodeBody(b, oldSchema))
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	var fields, names map[string]json.RawMessage
	if err := json.Unmarshal(old, &fields); err != nil {
		return nil, errors.Wrap(err, "stored record is not a JSON object")
	}
	if err := json.Unmarshal(replaced, &names); err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	for name := range names {
		delete(fields, name)
	}
	return marshalSorted(fields)
}

// encodeBody returns a struct that marshals to the JSON of the body.
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

				Regions []ident.Region `json:"regions,omitempty"`
			}{schema, b.Rate, b.Burst, b.Weight, b.Rank, b.Regions}
		}
		return struct {
			Schema Schema        `json:"schema"`
			Limit  teamLimitJSON `json:"limit"`
			Weight uint32        `json:"weight"`
			Rank   uint32        `json:"rank,omitempty"`

			Regions []ident.Region `json:"regions,omitempty"`
		}{schema, teamLimitJSON{b.Rate, b.Burst}, b.Weight, b.Rank, b.Regions}
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
			Schema       Schema       `json:"schema"`
			FloorPercent uint32       `json:"floor_percent"`
			ColdStart    clock.Millis `json:"cold_start_ms,omitempty"`
			ColdRate     uint32       `json:"cold_rate,omitempty"`
		}{schema, b.FloorPercent, b.ColdStart, b.ColdRate}
	case DataCentre:
		return struct {
			Schema    Schema `json:"schema"`
			Evacuated bool   `json:"evacuated"`
		}{schema, b.Evacuated}
	default:
		return nil
	}
}

func encodeRoute(r Route, schema Schema) any {
	var split []weightedServiceJSON
	for _, p := range r.Split {
		split = append(split, weightedServiceJSON(p))
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

			Attempts  uint32                `json:"attempts,omitempty"`
			Objective int64                 `json:"objective_ms,omitempty"`
			Split     []weightedServiceJSON `json:"split,omitempty"`
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
		Match    routeMatchJSON `json:"match"`
		Service  ident.Service  `json:"service"`
		Priority ident.Priority `json:"priority"`
		Action   string         `json:"action"`
		Access   string         `json:"access"`
		Timeout  int64          `json:"timeout_ms"`

		Attempts  uint32                `json:"attempts,omitempty"`
		Objective int64                 `json:"objective_ms,omitempty"`
		Split     []weightedServiceJSON `json:"split,omitempty"`
	}{
		schema,
		routeMatchJSON{r.Host, r.Prefix},
		r.Service, r.Priority, action, access, int64(r.Timeout),
		r.Attempts, int64(r.Objective), split,
	}
}

// knownFields holds the names of the fields that this program writes, by schema
// version and kind.
var knownFields = collectKnownFields()

func collectKnownFields() map[Schema]map[Kind]map[string]bool {
	out := map[Schema]map[Kind]map[string]bool{}
	for _, schema := range []Schema{SchemaFirst, SchemaCurrent} {
		out[schema] = map[Kind]map[string]bool{}
		// Fields with omitempty need a value to be encoded.
		fullRoute := Route{Attempts: 1, Objective: 1, Split: []WeightedService{{}}}
		for _, b := range []Body{Team{Rank: 1}, Key{}, fullRoute, Target{}, Service{}} {
			names := map[string]bool{}
			var fields map[string]json.RawMessage
			// Neither call can fail for the types of this package.
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

// HasUnknownFields reports whether a stored record has fields that this program
// does not write in the record's schema version. It returns false if raw cannot
// be decoded.
func HasUnknownFields(k Kind, raw json.RawMessage) bool {
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

// MergeFields returns a JSON object with the fields of fresh and those fields of
// old that fresh does not have, sorted by name. Nested objects are replaced, not
// merged. old may be nil. MergeFields fails if one of them is not a JSON object.
func MergeFields(old, fresh json.RawMessage) (json.RawMessage, error) {
	fields := map[string]json.RawMessage{}
	if len(old) > 0 {
		if err := json.Unmarshal(old, &fields); err != nil {
			return nil, errors.Wrap(err, "stored record is not a JSON object")
		}
	}
	var replacing map[string]json.RawMessage
	if err := json.Unmarshal(fresh, &replacing); err != nil {
		return nil, errors.Wrap(err, "new record is not a JSON object")
	}
	for k, v := range replacing {
		fields[k] = v
	}
	return marshalSorted(fields)
}

// marshalSorted encodes a JSON object in compact form, sorted by field name.
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
