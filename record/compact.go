package record

import (
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

// Field numbers of the compact form. The meaning of fieldA to fieldK depends on
// the kind of the record. Numbers are never reused.
const (
	fieldID protowire.Number = iota + 1
	fieldA
	fieldB
	fieldC
	fieldD
	fieldE
	fieldF
	fieldG
	fieldRaw
	fieldH
	fieldI
	fieldJ
	fieldK
	fieldEnd
)

// errDamagedCompact reports a compact record that cannot be parsed.
var errDamagedCompact = errors.New("compact record is damaged: fetch a new snapshot")

// AppendCompact appends the compact form of a body to b and returns the
// extended buffer. The compact form is a protobuf message without a schema
// file. raw is nil, or the stored JSON record if it has fields unknown to this
// program; a peer with a newer program can then read those fields.
func AppendCompact(b []byte, body Body, raw []byte) []byte {
	b = appendBytesField(b, fieldID, IDOf(body))
	switch v := body.(type) {
	case Team:
		b = appendVarintField(b, fieldA, uint64(v.Rate))
		b = appendVarintField(b, fieldB, uint64(v.Burst))
		b = appendVarintField(b, fieldC, uint64(v.Weight))
		b = appendVarintField(b, fieldD, uint64(v.Rank))
		b = appendBytesField(b, fieldK, string(appendRegions(nil, v.Regions)))
	case Key:
		b = appendBytesField(b, fieldA, string(v.Team))
		b = appendBytesField(b, fieldB, string(v.Hash[:]))
	case Route:
		b = appendBytesField(b, fieldA, v.Host)
		b = appendBytesField(b, fieldB, v.Prefix)
		b = appendBytesField(b, fieldC, string(v.Service))
		b = appendVarintField(b, fieldD, uint64(v.Priority))
		b = appendBoolField(b, fieldE, v.OneTime)
		b = appendBoolField(b, fieldF, v.Open)
		b = appendVarintField(b, fieldG, uint64(v.Timeout))
		b = appendVarintField(b, fieldH, uint64(v.Attempts))
		b = appendVarintField(b, fieldI, uint64(v.Objective))
		b = appendBytesField(b, fieldJ, string(appendSplit(nil, v.Split)))
		b = appendBytesField(b, fieldK, string(appendRegions(nil, v.Regions)))
	case Target:
		b = appendBoolField(b, fieldA, v.Drain)
	case Service:
		b = appendVarintField(b, fieldA, uint64(v.FloorPercent))
		b = appendVarintField(b, fieldB, uint64(v.ColdStart))
		b = appendVarintField(b, fieldC, uint64(v.ColdRate))
	case DataCentre:
		b = appendBoolField(b, fieldA, v.Evacuated)
	}
	if len(raw) > 0 {
		b = appendBytesField(b, fieldRaw, string(raw))
	}
	return b
}

// appendBytesField appends a length-delimited field. An empty field is omitted.
func appendBytesField(b []byte, n protowire.Number, s string) []byte {
	if s == "" {
		return b
	}
	b = protowire.AppendTag(b, n, protowire.BytesType)
	return protowire.AppendString(b, s)
}

// appendVarintField appends a varint field. A zero field is omitted.
func appendVarintField(b []byte, n protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	b = protowire.AppendTag(b, n, protowire.VarintType)
	return protowire.AppendVarint(b, v)
}

func appendBoolField(b []byte, n protowire.Number, v bool) []byte {
	return appendVarintField(b, n, protowire.EncodeBool(v))
}

// parsedFields holds the fields of one compact record by field number. Absent
// fields are nil or zero. The byte fields share the memory of the record.
type parsedFields struct {
	bytes  [fieldEnd][]byte
	varint [fieldEnd]uint64
}

func parseFields(b []byte) (parsedFields, error) {
	var f parsedFields
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 || num >= fieldEnd {
			return f, errDamagedCompact
		}
		b = b[n:]
		switch typ {
		case protowire.VarintType:
			v, n := protowire.ConsumeVarint(b)
			if n < 0 {
				return f, errDamagedCompact
			}
			f.varint[num] = v
			b = b[n:]
		case protowire.BytesType:
			v, n := protowire.ConsumeBytes(b)
			if n < 0 {
				return f, errDamagedCompact
			}
			f.bytes[num] = v
			b = b[n:]
		default:
			return f, errDamagedCompact
		}
	}
	return f, nil
}

// CompactID returns the id of a compact record, or nil if the record does not
// start with an id. The result shares the memory of b.
func CompactID(b []byte) []byte {
	num, typ, n := protowire.ConsumeTag(b)
	if n < 0 || num != fieldID || typ != protowire.BytesType {
		return nil
	}
	v, m := protowire.ConsumeBytes(b[n:])
	if m < 0 {
		return nil
	}
	return v
}

// ParseCompact parses a compact record. raw is the stored JSON record if it has
// fields unknown to the program that wrote the compact record, else nil. raw
// shares the memory of b. The body is not checked.
func ParseCompact(k Kind, b []byte) (body Body, raw []byte, err error) {
	f, err := parseFields(b)
	if err != nil {
		return nil, nil, err
	}
	id := string(f.bytes[fieldID])
	switch k {
	case KindTeam:
		regions, err := parseRegions(f.bytes[fieldK])
		if err != nil {
			return nil, nil, err
		}
		body = Team{
			ID: ident.Team(id), Rate: uint32(f.varint[fieldA]), Burst: uint32(f.varint[fieldB]),
			Weight: uint32(f.varint[fieldC]), Rank: uint32(f.varint[fieldD]), Regions: regions,
		}
	case KindKey:
		key := Key{ID: ident.Key(id), Team: ident.Team(f.bytes[fieldA])}
		copy(key.Hash[:], f.bytes[fieldB])
		body = key
	case KindRoute:
		split, err := parseSplit(f.bytes[fieldJ])
		if err != nil {
			return nil, nil, err
		}
		regions, err := parseRegions(f.bytes[fieldK])
		if err != nil {
			return nil, nil, err
		}
		body = Route{
			ID: ident.Route(id), Host: string(f.bytes[fieldA]), Prefix: string(f.bytes[fieldB]),
			Service: ident.Service(f.bytes[fieldC]), Priority: ident.Priority(f.varint[fieldD]),
			OneTime: f.varint[fieldE] != 0, Open: f.varint[fieldF] != 0, Timeout: clock.Millis(f.varint[fieldG]),
			Attempts: uint32(f.varint[fieldH]), Objective: clock.Millis(f.varint[fieldI]), Split: split, Regions: regions,
		}
	case KindTarget:
		body = Target{ID: ident.Target(id), Drain: f.varint[fieldA] != 0}
	case KindService:
		body = Service{
			ID: ident.Service(id), FloorPercent: uint32(f.varint[fieldA]),
			ColdStart: clock.Millis(f.varint[fieldB]), ColdRate: uint32(f.varint[fieldC]),
		}
	case KindDataCentre:
		body = DataCentre{ID: ident.DataCentre(id), Evacuated: f.varint[fieldA] != 0}
	default:
		return nil, nil, errDamagedCompact
	}
	return body, f.bytes[fieldRaw], nil
}

// appendSplit appends the services of a split route, each as a length-prefixed
// service id and a varint weight.
func appendSplit(b []byte, split []WeightedService) []byte {
	for _, p := range split {
		b = protowire.AppendString(b, string(p.Service))
		b = protowire.AppendVarint(b, uint64(p.Weight))
	}
	return b
}

func parseSplit(b []byte) ([]WeightedService, error) {
	var out []WeightedService
	for len(b) > 0 {
		service, n := protowire.ConsumeBytes(b)
		if n < 0 {
			return nil, errDamagedCompact
		}
		weight, m := protowire.ConsumeVarint(b[n:])
		if m < 0 {
			return nil, errDamagedCompact
		}
		out = append(out, WeightedService{Service: ident.Service(service), Weight: uint32(weight)})
		b = b[n+m:]
	}
	return out, nil
}

// appendRegions appends region names, each with its length before it.
func appendRegions(b []byte, regions []ident.Region) []byte {
	for _, r := range regions {
		b = protowire.AppendString(b, string(r))
	}
	return b
}

func parseRegions(b []byte) ([]ident.Region, error) {
	var out []ident.Region
	for len(b) > 0 {
		name, n := protowire.ConsumeBytes(b)
		if n < 0 {
			return nil, errDamagedCompact
		}
		out = append(out, ident.Region(name))
		b = b[n:]
	}
	return out, nil
}
