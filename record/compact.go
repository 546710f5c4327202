package record

import (
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

// Field numbers of the compact form. Numbers are never reused.
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
	fieldEnd
)

// errCompact reports a compact record that does not parse.
var errCompact = errors.New("compact record is damaged: take a new snapshot")

// AppendCompact appends the compact form of a body to b. raw is the stored
// record when it has fields that this program does not know, so that a newer
// peer can read them; else nil.
func AppendCompact(b []byte, body Body, raw []byte) []byte {
	b = appendText(b, fieldID, IDOf(body))
	switch v := body.(type) {
	case Team:
		b = appendNumber(b, fieldA, uint64(v.Rate))
		b = appendNumber(b, fieldB, uint64(v.Burst))
		b = appendNumber(b, fieldC, uint64(v.Weight))
		b = appendNumber(b, fieldD, uint64(v.Rank))
	case Key:
		b = appendText(b, fieldA, string(v.Team))
		b = appendText(b, fieldB, string(v.Hash[:]))
	case Route:
		b = appendText(b, fieldA, v.Host)
		b = appendText(b, fieldB, v.Prefix)
		b = appendText(b, fieldC, string(v.Service))
		b = appendNumber(b, fieldD, uint64(v.Priority))
		b = appendFlag(b, fieldE, v.OneTime)
		b = appendFlag(b, fieldF, v.Open)
		b = appendNumber(b, fieldG, uint64(v.Timeout))
		b = appendNumber(b, fieldH, uint64(v.Attempts))
		b = appendNumber(b, fieldI, uint64(v.Objective))
		b = appendText(b, fieldJ, string(appendSplit(nil, v.Split)))
	case Target:
		b = appendFlag(b, fieldA, v.Drain)
	case Service:
		b = appendNumber(b, fieldA, uint64(v.FloorPercent))
	}
	if len(raw) > 0 {
		b = appendText(b, fieldRaw, string(raw))
	}
	return b
}

func appendText(b []byte, n protowire.Number, s string) []byte {
	if s == "" {
		return b
	}
	b = protowire.AppendTag(b, n, protowire.BytesType)
	return protowire.AppendString(b, s)
}

func appendNumber(b []byte, n protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	b = protowire.AppendTag(b, n, protowire.VarintType)
	return protowire.AppendVarint(b, v)
}

func appendFlag(b []byte, n protowire.Number, v bool) []byte {
	return appendNumber(b, n, protowire.EncodeBool(v))
}

// fields holds the parsed fields of one compact record, by number.
type fields struct {
	text   [fieldEnd][]byte
	number [fieldEnd]uint64
}

func parseFields(b []byte) (fields, error) {
	var f fields
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 || num >= fieldEnd {
			return f, errCompact
		}
		b = b[n:]
		switch typ {
		case protowire.VarintType:
			v, n := protowire.ConsumeVarint(b)
			if n < 0 {
				return f, errCompact
			}
			f.number[num] = v
			b = b[n:]
		case protowire.BytesType:
			v, n := protowire.ConsumeBytes(b)
			if n < 0 {
				return f, errCompact
			}
			f.text[num] = v
			b = b[n:]
		default:
			return f, errCompact
		}
	}
	return f, nil
}

// CompactID returns the id in a compact record without copying, or nil.
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

// ParseCompact reads a compact record. raw is not nil if the record carries
// fields unknown to the writer.
func ParseCompact(k Kind, b []byte) (body Body, raw []byte, err error) {
	f, err := parseFields(b)
	if err != nil {
		return nil, nil, err
	}
	id := string(f.text[fieldID])
	switch k {
	case KindTeam:
		body = Team{
			ID: ident.Team(id), Rate: uint32(f.number[fieldA]), Burst: uint32(f.number[fieldB]),
			Weight: uint32(f.number[fieldC]), Rank: uint32(f.number[fieldD]),
		}
	case KindKey:
		key := Key{ID: ident.Key(id), Team: ident.Team(f.text[fieldA])}
		copy(key.Hash[:], f.text[fieldB])
		body = key
	case KindRoute:
		split, err := parseSplit(f.text[fieldJ])
		if err != nil {
			return nil, nil, err
		}
		body = Route{
			ID: ident.Route(id), Host: string(f.text[fieldA]), Prefix: string(f.text[fieldB]),
			Service: ident.Service(f.text[fieldC]), Priority: ident.Priority(f.number[fieldD]),
			OneTime: f.number[fieldE] != 0, Open: f.number[fieldF] != 0, Timeout: clock.Millis(f.number[fieldG]),
			Attempts: uint32(f.number[fieldH]), Objective: clock.Millis(f.number[fieldI]), Split: split,
		}
	case KindTarget:
		body = Target{ID: ident.Target(id), Drain: f.number[fieldA] != 0}
	case KindService:
		body = Service{ID: ident.Service(id), FloorPercent: uint32(f.number[fieldA])}
	default:
		return nil, nil, errCompact
	}
	return body, f.text[fieldRaw], nil
}

// appendSplit writes the parts of a split route, each as its service and its
// weight.
func appendSplit(b []byte, split []Part) []byte {
	for _, p := range split {
		b = protowire.AppendString(b, string(p.Service))
		b = protowire.AppendVarint(b, uint64(p.Weight))
	}
	return b
}

func parseSplit(b []byte) ([]Part, error) {
	var out []Part
	for len(b) > 0 {
		service, n := protowire.ConsumeBytes(b)
		if n < 0 {
			return nil, errCompact
		}
		weight, m := protowire.ConsumeVarint(b[n:])
		if m < 0 {
			return nil, errCompact
		}
		out = append(out, Part{Service: ident.Service(service), Weight: uint32(weight)})
		b = b[n+m:]
	}
	return out, nil
}
