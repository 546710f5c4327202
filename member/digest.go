package member

import (
	"github.com/cespare/xxhash/v2"

	"chestnutlatch/ident"
)

const (
	// bucketCount is the number of hashes in a digest.
	bucketCount = 32
	// membersPerMessage keeps a datagram with records small.
	membersPerMessage = 4
	// maxAnswers bounds the datagrams that answer one digest.
	maxAnswers = 64
)

func bucketOf(id ident.Instance) int {
	return int(xxhash.Sum64String(string(id)) % bucketCount)
}

// mix makes one record's part of its bucket's hash. Dead and left records do
// not count: members forget them at different times.
func mix(m *Member) uint64 {
	if !m.IsUp() {
		return 0
	}
	h := xxhash.Sum64String(string(m.Instance))
	for _, n := range [3]uint64{uint64(m.Incarnation), m.Version, uint64(m.Status)} {
		h = (h ^ n) * 0x9E3779B97F4A7C15
		h ^= h >> 29
	}
	return h
}

func (v *View) digest() []uint64 {
	out := make([]uint64, bucketCount)
	for id, k := range v.members {
		out[bucketOf(id)] ^= mix(k.member)
	}
	return out
}

// sendDigest sends a digest to a random member, dead ones included, so that
// the two sides of a healed cut find each other.
func (v *View) sendDigest() []Effect {
	var effects []Effect
	for _, id := range v.randomPeers(1, func(m *Member) bool { return m.Status != StatusLeft }) {
		effects = append(effects, v.Contact(v.members[id].member.MemberAddress))
	}
	return effects
}

// Contact returns a digest for an address, for a first contact too. It always
// carries the own record, so that the receiver knows whom it answers.
func (v *View) Contact(address string) Effect {
	return v.sendAddr(address, Message{Kind: MessageDigest, Buckets: v.digest(), Members: []*Member{v.self}})
}

// answerDigest sends the records of the buckets that differ.
func (v *View) answerDigest(from string, m Message) []Effect {
	if len(m.Buckets) != bucketCount {
		return nil
	}
	mine := v.digest()
	var effects []Effect
	var page []*Member
	for _, k := range v.Members() {
		b := bucketOf(k.Instance)
		if mine[b] == m.Buckets[b] {
			continue
		}
		page = append(page, k)
		if len(page) == membersPerMessage {
			effects = append(effects, v.sendAddr(from, Message{Kind: MessageMembers, Members: page}))
			page = nil
		}
		if len(effects) == maxAnswers {
			return effects
		}
	}
	if len(page) > 0 {
		effects = append(effects, v.sendAddr(from, Message{Kind: MessageMembers, Members: page}))
	}
	return effects
}
