// Package member maintains a daemon's view of the fleet's members with a
// SWIM-style gossip protocol. Daemons ping random peers, mostly of their own data
// centre, attach changed records to these messages, and compare digests with random
// peers of any data centre to repair missed updates. The store only supplies the
// first peers.
//
// The package does no I/O: the daemon passes in the time and the messages it
// receives, and carries out the effects that are returned.
package member

import (
	"chestnutlatch/clock"
	"chestnutlatch/health"
	"chestnutlatch/ident"
	"chestnutlatch/limit"
)

//go:generate enumer -type=Status,MessageKind -transform=snake -trimprefix=Status,Message -output=member_enumer.go

// Status is the state of a member as the fleet sees it.
type Status int

// Statuses of a member. Of two records with the same incarnation and version,
// the one with the higher status wins.
const (
	// StatusAlive members may be given work.
	StatusAlive Status = iota
	// StatusSuspect members did not answer probes. They may still be given work
	// and can refute the suspicion.
	StatusSuspect
	// StatusDead members stayed suspect for Config.SuspicionTimeout.
	StatusDead
	// StatusLeft members announced a planned shutdown.
	StatusLeft
)

// Target describes one target beside a member's daemon.
type Target struct {
	ID      ident.Target
	Service ident.Service
	State   ident.TargetState
	// Slots is the number of requests that the target serves at once.
	Slots int
}

// SlotClaim is a rate slot that a member holds. Of two claims on a slot, the one
// with the higher term is valid.
type SlotClaim struct {
	Slot limit.Slot
	Term uint64
}

// Member is the record of one daemon. Only the daemon itself raises Version;
// other daemons may raise Status. A record that is part of a view is replaced,
// never modified.
type Member struct {
	Instance    ident.Instance
	Incarnation ident.Incarnation
	// Version counts the daemon's own changes within an incarnation.
	Version    uint64
	Status     Status
	DataCentre ident.DataCentre
	Region     ident.Region
	// InnerAddress is the address for calls between daemons, MemberAddress the
	// one for the datagrams of this package.
	InnerAddress  string
	MemberAddress string
	Targets       []Target
	// SlotClaims holds the rate slots that the daemon claims.
	SlotClaims []SlotClaim
}

// Newer reports whether m replaces o, a record of the same instance: by
// incarnation, then version, then status.
func (m *Member) Newer(o *Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	if m.Version != o.Version {
		return m.Version > o.Version
	}
	return m.Status > o.Status
}

// IsUp reports whether the member may be given work: it is alive or suspect.
func (m *Member) IsUp() bool {
	return m.Status == StatusAlive || m.Status == StatusSuspect
}

// TargetStats holds the statistics of one target that its guard sends to other
// guards of the same service.
type TargetStats struct {
	Service ident.Service
	Target  ident.Target
	// Windows cover the last 1 s, 5 s and 60 s.
	Windows [health.WindowCount]health.Stats
}

// MessageKind is the type of a message between members.
type MessageKind int

// Kinds of messages.
const (
	// MessagePing requests a MessageAck.
	MessagePing MessageKind = iota
	// MessageAck answers a ping.
	MessageAck
	// MessageProbe asks the receiver to ping Subject and to forward its ack:
	// an indirect probe.
	MessageProbe
	// MessageDigest carries bucket hashes of the sender's records. It is
	// answered with MessageMembers if hashes differ.
	MessageDigest
	// MessageMembers carries records of the buckets that differed.
	MessageMembers
	// MessageVitals carries target statistics for guards of the same services.
	MessageVitals
)

// Message is one datagram between members.
type Message struct {
	Kind MessageKind
	// Sequence matches an ack to its ping or indirect probe.
	Sequence uint64
	Sender   ident.Instance
	// Incarnation is the sender's.
	Incarnation ident.Incarnation
	// Subject is the member to ping, or the member whose ack is forwarded.
	Subject ident.Instance
	// Revision is the sender's configuration revision.
	Revision ident.Revision
	// Members are records for the receiver to merge.
	Members     []*Member
	TargetStats []TargetStats
	// Buckets holds the hashes of a digest.
	Buckets []uint64
}

// Effect is an action or an event that a View returns to its caller: one of the
// types below.
type Effect interface {
	effect()
}

// Send asks the caller to send a message to an address.
type Send struct {
	To      string
	Message Message
}

// Changed reports a new or changed record.
type Changed struct {
	Member *Member
}

// Removed reports that a member was removed from the view after it had been dead
// or left for Config.RemoveAfter.
type Removed struct {
	Member *Member
}

// ConfigBehind reports that a peer has a newer configuration revision than this
// daemon.
type ConfigBehind struct {
	Peer     ident.Instance
	Revision ident.Revision
}

// Superseded reports that a newer incarnation of this instance is running. This
// process must stop.
type Superseded struct {
	Incarnation ident.Incarnation
}

func (Send) effect()         {}
func (Changed) effect()      {}
func (Removed) effect()      {}
func (ConfigBehind) effect() {}
func (Superseded) effect()   {}

// Config holds the timing of a View, in milliseconds.
type Config struct {
	// ProbeInterval is the time between two probes.
	ProbeInterval clock.Millis
	// AckTimeout is the wait for an ack before indirect probes are sent. A member
	// of this data centre that has sent no ack after three times as long becomes
	// suspect.
	AckTimeout clock.Millis
	// SuspicionTimeout is the time in which a suspect must refute the suspicion
	// before it is declared dead. It starts again when the suspect answers a ping.
	SuspicionTimeout clock.Millis
	// DigestInterval is the mean time between two digests. The times are spread
	// from half to one and a half of it.
	DigestInterval clock.Millis
	// ReportInterval is the time between two pings to the reporters of this data
	// centre.
	ReportInterval clock.Millis
	// UnreachableAfter is the time without any message from a data centre after
	// which it counts as unreachable. In a fleet of full size each data centre is
	// probed twice a minute.
	UnreachableAfter clock.Millis
	// RemoveAfter is the time for which a dead or left record is kept.
	RemoveAfter clock.Millis
}

// DefaultConfig returns timing that suits a fleet of any size.
func DefaultConfig() Config {
	return Config{
		ProbeInterval:    500 * clock.Millisecond,
		AckTimeout:       150 * clock.Millisecond,
		SuspicionTimeout: 2 * clock.Second,
		DigestInterval:   5 * clock.Second,
		ReportInterval:   4 * clock.Second,
		UnreachableAfter: 3 * clock.Minute,
		RemoveAfter:      10 * clock.Minute,
	}
}
