package member

import (
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"chestnutlatch/health"
	"chestnutlatch/ident"
	"chestnutlatch/limit"
	"chestnutlatch/wire"
)

// Encode marshals a message into the payload of a datagram.
func Encode(m Message) ([]byte, error) {
	d := &wire.Datagram{
		Kind:              uint32(m.Kind),
		Sequence:          m.Sequence,
		Sender:            string(m.Sender),
		SenderIncarnation: uint64(m.Incarnation),
		Subject:           string(m.Subject),
		Revision:          uint64(m.Revision),
		Buckets:           m.Buckets,
	}
	for _, r := range m.Members {
		d.Members = append(d.Members, memberToWire(r))
	}
	for _, t := range m.TargetStats {
		d.Vitals = append(d.Vitals, statsToWire(t))
	}
	b, err := proto.Marshal(d)
	if err != nil {
		return b, errors.Wrap(err, "encode datagram")
	}
	return b, nil
}

// maxVersion is the highest version of a record that is accepted. A daemon refutes a
// record about itself with a higher version, which must not wrap.
const maxVersion = 1 << 62

// maxTargets is the highest number of targets of one member that is accepted.
const maxTargets = 4096

// check returns an error if a record from outside has a field that is out of range.
func (m *Member) check() error {
	if !m.Status.IsAStatus() {
		return errors.Errorf("member %q has the unknown status %d", m.Instance, int(m.Status))
	}
	if m.Version > maxVersion {
		return errors.Errorf("member %q has the version %d, over %d", m.Instance, m.Version, uint64(maxVersion))
	}
	if len(m.Targets) > maxTargets {
		return errors.Errorf("member %q has %d targets, over %d", m.Instance, len(m.Targets), maxTargets)
	}
	for _, t := range m.Targets {
		if !t.State.IsATargetState() || t.Slots < 0 || t.Slots > ident.MaxSlots {
			return errors.Errorf("target %q of member %q has state %d and %d slots", t.ID, m.Instance, int(t.State), t.Slots)
		}
	}
	return nil
}

// Decode unmarshals the payload of a datagram. It returns an error if the kind is
// unknown or a record has a field that is out of range.
func Decode(b []byte) (Message, error) {
	var d wire.Datagram
	if err := proto.Unmarshal(b, &d); err != nil {
		return Message{}, errors.Wrap(err, "decode datagram")
	}
	m := Message{
		Kind:        MessageKind(d.GetKind()),
		Sequence:    d.GetSequence(),
		Sender:      ident.Instance(d.GetSender()),
		Incarnation: ident.Incarnation(d.GetSenderIncarnation()),
		Subject:     ident.Instance(d.GetSubject()),
		Revision:    ident.Revision(d.GetRevision()),
		Buckets:     d.GetBuckets(),
	}
	if !m.Kind.IsAMessageKind() {
		return Message{}, errors.Errorf("datagram of %q has the unknown kind %d", m.Sender, int(m.Kind))
	}
	for _, r := range d.GetMembers() {
		record := memberFromWire(r)
		if err := record.check(); err != nil {
			return Message{}, err
		}
		m.Members = append(m.Members, record)
	}
	for _, t := range d.GetVitals() {
		m.TargetStats = append(m.TargetStats, statsFromWire(t))
	}
	return m, nil
}

func statsToWire(t TargetStats) *wire.Vital {
	w := &wire.Vital{Service: string(t.Service), Target: string(t.Target)}
	for _, s := range t.Windows {
		w.Windows = append(w.Windows, &wire.Tally{
			Count: uint32(s.Count), Failures: uint32(s.Failures), LatencyUs: uint64(s.Latency),
		})
	}
	return w
}

// statsFromWire ignores windows beyond health.WindowCount.
func statsFromWire(w *wire.Vital) TargetStats {
	t := TargetStats{Service: ident.Service(w.GetService()), Target: ident.Target(w.GetTarget())}
	for i, s := range w.GetWindows()[:min(len(w.GetWindows()), health.WindowCount)] {
		t.Windows[i] = health.Stats{
			Count: int(s.GetCount()), Failures: int(s.GetFailures()), Latency: ident.Micros(s.GetLatencyUs()),
		}
	}
	return t
}

func memberToWire(m *Member) *wire.Member {
	w := &wire.Member{
		Instance:      string(m.Instance),
		Incarnation:   uint64(m.Incarnation),
		Version:       m.Version,
		Status:        uint32(m.Status),
		DataCentre:    string(m.DataCentre),
		Region:        string(m.Region),
		InnerAddress:  m.InnerAddress,
		MemberAddress: m.MemberAddress,
	}
	for _, t := range m.Targets {
		w.Targets = append(w.Targets, &wire.TargetInfo{
			Target: string(t.ID), Service: string(t.Service), State: uint32(t.State), Slots: uint32(t.Slots),
		})
	}
	for _, s := range m.SlotClaims {
		w.SlotClaims = append(w.SlotClaims, &wire.SlotClaim{Slot: uint32(s.Slot), Term: s.Term})
	}
	return w
}

func memberFromWire(w *wire.Member) *Member {
	m := &Member{
		Instance:      ident.Instance(w.GetInstance()),
		Incarnation:   ident.Incarnation(w.GetIncarnation()),
		Version:       w.GetVersion(),
		Status:        Status(w.GetStatus()),
		DataCentre:    ident.DataCentre(w.GetDataCentre()),
		Region:        ident.Region(w.GetRegion()),
		InnerAddress:  w.GetInnerAddress(),
		MemberAddress: w.GetMemberAddress(),
	}
	for _, t := range w.GetTargets() {
		m.Targets = append(m.Targets, Target{
			ID: ident.Target(t.GetTarget()), Service: ident.Service(t.GetService()),
			State: ident.TargetState(t.GetState()), Slots: int(t.GetSlots()),
		})
	}
	for _, s := range w.GetSlotClaims() {
		m.SlotClaims = append(m.SlotClaims, SlotClaim{Slot: limit.Slot(s.GetSlot()), Term: s.GetTerm()})
	}
	return m
}

// EncodeMember marshals one record for the store, where new daemons look for
// their first peers.
func EncodeMember(m *Member) ([]byte, error) {
	b, err := proto.Marshal(memberToWire(m))
	if err != nil {
		return b, errors.Wrap(err, "encode member")
	}
	return b, nil
}

// DecodeMember unmarshals a record that EncodeMember wrote. It returns an error if a
// field is out of range or an address is not ip:port.
func DecodeMember(b []byte) (*Member, error) {
	var w wire.Member
	if err := proto.Unmarshal(b, &w); err != nil {
		return nil, errors.Wrap(err, "decode member")
	}
	m := memberFromWire(&w)
	if !ident.IsAddress(m.InnerAddress) || !ident.IsAddress(m.MemberAddress) {
		return nil, errors.Errorf("member %q has the inner address %q and the member address %q: each must be ip:port", m.Instance, m.InnerAddress, m.MemberAddress)
	}
	return m, m.check()
}
