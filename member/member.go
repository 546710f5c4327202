// Package member keeps each daemon's view of the fleet. Daemons probe random
// peers of their data centre, spread changes with the probes, and compare
// digests with random peers anywhere to mend what was missed. The store is
// only the first contact. The package does no I/O.
package member

import (
	"chestnutlatch/clock"
	"chestnutlatch/health"
	"chestnutlatch/ident"
	"chestnutlatch/limit"
)

//go:generate enumer -type=Status,MessageKind -transform=snake -trimprefix=Status,Message -output=member_enumer.go

// Status is the fleet's word on a member.
type Status int

// Statuses of a member. Of two records with the same incarnation and version
// the higher status wins.
const (
	// StatusAlive members take work.
	StatusAlive Status = iota
	// StatusSuspect members did not answer probes and may still refute it.
	StatusSuspect
	// StatusDead members were suspect for too long.
	StatusDead
	// StatusLeft members stopped as planned.
	StatusLeft
)

// Target is one target beside a member.
type Target struct {
	ID      ident.Target
	Service ident.Service
	State   ident.TargetState
	// Slots is the number of requests the target serves at once.
	Slots int
}

// SlotClaim is a rate slot that a member holds, with the claim's term.
type SlotClaim struct {
	Slot limit.Slot
	Term uint64
}

// Member is one daemon's record. Only its owner raises Version; anyone may
// raise Status.
type Member struct {
	Instance    ident.Instance
	Incarnation ident.Incarnation
	// Version counts the owner's changes within an incarnation.
	Version       uint64
	Status        Status
	DataCentre    ident.DataCentre
	Region        ident.Region
	InnerAddress  string
	MemberAddress string
	Targets       []Target
	Slots         []SlotClaim
}

// Newer reports whether m replaces o.
func (m *Member) Newer(o *Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	if m.Version != o.Version {
		return m.Version > o.Version
	}
	return m.Status > o.Status
}

// IsUp reports whether the member may take work.
func (m *Member) IsUp() bool {
	return m.Status == StatusAlive || m.Status == StatusSuspect
}

// Vital is a guard's summary of one target, for its peers in the service.
type Vital struct {
	Service ident.Service
	Target  ident.Target
	// Windows count the last 1 s, 5 s and 60 s.
	Windows [health.WindowCount]health.Stats
}

// MessageKind tells the datagrams apart.
type MessageKind int

// Kinds of messages.
const (
	// MessagePing asks the receiver for a MessageAck.
	MessagePing MessageKind = iota
	// MessageAck answers a ping.
	MessageAck
	// MessageProbe asks the receiver to ping Subject and to pass its ack on.
	MessageProbe
	// MessageDigest compares views; the answer is MessageMembers.
	MessageDigest
	// MessageMembers carries the records of the buckets that differed.
	MessageMembers
	// MessageVitals carries vitals for the guards of the same services.
	MessageVitals
)

// Message is one datagram between members.
type Message struct {
	Kind     MessageKind
	Sequence uint64
	Sender   ident.Instance
	// Incarnation is the sender's.
	Incarnation ident.Incarnation
	Subject     ident.Instance
	// Revision is the sender's configuration revision.
	Revision ident.Revision
	Members  []*Member
	Vitals   []Vital
	// Buckets are the hashes of a digest.
	Buckets []uint64
}

// Effect is what the owner of the view has to do: Send, Changed, Forgot, Behind
// or Superseded.
type Effect interface {
	effect()
}

// Send sends a message to a member's address.
type Send struct {
	To      string
	Message Message
}

// Changed tells that a member's record changed.
type Changed struct {
	Member *Member
}

// Forgot tells that a member that is dead or left for long is no longer known.
type Forgot struct {
	Member *Member
}

// Behind tells that a peer has a newer configuration.
type Behind struct {
	Peer     ident.Instance
	Revision ident.Revision
}

// Superseded tells that a newer incarnation runs on this instance; this
// process must stop.
type Superseded struct {
	Incarnation ident.Incarnation
}

func (Send) effect()       {}
func (Changed) effect()    {}
func (Forgot) effect()     {}
func (Behind) effect()     {}
func (Superseded) effect() {}

// Config holds the timing of a View, in milliseconds.
type Config struct {
	// ProbeEvery is the time between two probes.
	ProbeEvery clock.Millis
	// AckWait is the time after which a probe goes through other members.
	AckWait clock.Millis
	// SuspectFor is the time a suspect has to refute.
	SuspectFor clock.Millis
	// DigestEvery is the time between two digests.
	DigestEvery clock.Millis
	// ReportEvery is the time between two pings to the reporters of the own
	// data centre.
	ReportEvery clock.Millis
	// DarkAfter is the time without any word after which a data centre is
	// dark. At full size each data centre is probed twice a minute.
	DarkAfter clock.Millis
	// ForgetAfter is the time a dead or left record is kept.
	ForgetAfter clock.Millis
}

// DefaultConfig returns the timing that suits a fleet of any size.
func DefaultConfig() Config {
	return Config{
		ProbeEvery:  500 * clock.Millisecond,
		AckWait:     150 * clock.Millisecond,
		SuspectFor:  2 * clock.Second,
		DigestEvery: 5 * clock.Second,
		ReportEvery: 4 * clock.Second,
		DarkAfter:   3 * clock.Minute,
		ForgetAfter: 10 * clock.Minute,
	}
}
