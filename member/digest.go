package member

import (
	"github.com/cespare/xxhash/v2"

	"chestnutlatch/ident"
)

const (
	// digestBuckets is the number of buckets, and hashes, in a digest.
	digestBuckets = 32
	// membersPerMessage is the number of records in a MessageMembers; it keeps
	// the datagram small.
	membersPerMessage = 4
	// maxDigestReplies is the largest number of datagrams that answer one digest.
	maxDigestReplies = 64
)

// bucketOf returns the digest bucket of an instance.
func bucketOf(id ident.Instance) int {
	return int(xxhash.Sum64String(string(id)) % digestBuckets)
}

// recordHash hashes one record for its bucket. Dead and left records hash to 0,
// since daemons remove them at different times.
func recordHash(m *Member) uint64 {
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

// digest returns one hash per bucket: the XOR of its record hashes. Two daemons
// with the same live records have the same digest.
func (v *View) digest() []uint64 {
	out := make([]uint64, digestBuckets)
	for id, state := range v.members {
		out[bucketOf(id)] ^= recordHash(state.member)
	}
	return out
}

// sendRandomDigest sends a digest to a random member that has not left. Dead
// members are included: this is how the two sides of a healed network partition
// find each other.
func (v *View) sendRandomDigest() []Effect {
	var effects []Effect
	for _, id := range v.randomPeerIDs(1, func(m *Member) bool { return m.Status != StatusLeft }) {
		effects = append(effects, v.SendDigestTo(v.members[id].member.MemberAddress))
	}
	return effects
}

// SendDigestTo returns a digest message to an address, which may belong to an unknown
// member. The message always carries this daemon's own record, so that the
// receiver can add the sender to its view.
func (v *View) SendDigestTo(address string) Effect {
	return v.sendToAddress(address, Message{Kind: MessageDigest, Buckets: v.digest(), Members: []*Member{v.self}})
}

// receiveDigest answers a digest with the records of the buckets that differ from
// it, dead and left ones included. A digest of the wrong length gets no answer.
func (v *View) receiveDigest(from string, m Message) []Effect {
	if len(m.Buckets) != digestBuckets {
		return nil
	}
	own := v.digest()
	var effects []Effect
	var batch []*Member
	for _, record := range v.Members() {
		b := bucketOf(record.Instance)
		if own[b] == m.Buckets[b] {
			continue
		}
		batch = append(batch, record)
		if len(batch) == membersPerMessage {
			effects = append(effects, v.sendToAddress(from, Message{Kind: MessageMembers, Members: batch}))
			batch = nil
		}
		if len(effects) == maxDigestReplies {
			return effects
		}
	}
	if len(batch) > 0 {
		effects = append(effects, v.sendToAddress(from, Message{Kind: MessageMembers, Members: batch}))
	}
	return effects
}
