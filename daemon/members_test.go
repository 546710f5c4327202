package daemon

import (
	"testing"

	"github.com/hashicorp/go-hclog"

	"chestnutlatch/choose"
	"chestnutlatch/clock"
	"chestnutlatch/ident"
	"chestnutlatch/member"
	"chestnutlatch/setup"
	"chestnutlatch/stand"
)

// testDaemon returns a daemon without sockets that uses the given clock and store.
func testDaemon(t *testing.T, clk clock.Clock, mem *stand.MemoryStore, slots int) *Daemon {
	t.Helper()
	d, err := New(&setup.Settings{
		Instance: "i", DataCentre: "dc", Region: "r", MemberAddress: "127.0.0.1:1", InnerAddress: "127.0.0.1:2",
		FleetSecret: "0123456789abcdef", RateSlots: slots, RateLease: clock.Hour, TicketTTL: clock.Minute, MaxTickets: 16,
		QueueLimit: 1, MaxRequestBytes: 1024, MaxAnswerBytes: 1024, MaxCallers: 1,
	}, clk, hclog.NewNullLogger(), mem)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.pool.Release)
	return d
}

// receiveFromPeer delivers a ping of a peer that reports a revision.
func receiveFromPeer(t *testing.T, d *Daemon, rev ident.Revision) {
	t.Helper()
	peer := &member.Member{Instance: "peer", Incarnation: 1, Version: 1, DataCentre: "dc", MemberAddress: "127.0.0.1:3"}
	b, err := member.Encode(member.Message{
		Kind: member.MessagePing, Sender: "peer", Incarnation: 1, Revision: rev, Members: []*member.Member{peer},
	})
	if err != nil {
		t.Fatal(err)
	}
	d.members.receive(member.Sign([]byte(d.cfg.FleetSecret), b), "127.0.0.1:3")
}

// TestIsolatedDaemonRefusesKeys checks that a daemon refuses requests when it may
// have missed the withdrawal of a key.
func TestIsolatedDaemonRefusesKeys(t *testing.T) {
	tests := []struct {
		name     string
		setup    func(t *testing.T, d *Daemon, clk *clock.Manual)
		accepted bool
	}{
		{"recent message from a peer", func(t *testing.T, d *Daemon, _ *clock.Manual) { receiveFromPeer(t, d, 0) }, true},
		{"last message from a peer is old", func(t *testing.T, d *Daemon, clk *clock.Manual) {
			receiveFromPeer(t, d, 0)
			clk.Advance(isolationTimeout + 1)
		}, false},
		{"recent reply from the store only", func(_ *testing.T, d *Daemon, clk *clock.Manual) {
			clk.Advance(isolationTimeout + 1)
			d.logSyncer.noteStoreReply()
		}, true},
		{"newer revision was just reported", func(t *testing.T, d *Daemon, _ *clock.Manual) { receiveFromPeer(t, d, 5) }, true},
		{"newer revision is not fetched in time", func(t *testing.T, d *Daemon, clk *clock.Manual) {
			receiveFromPeer(t, d, 5)
			clk.Advance(isolationTimeout + 1)
			receiveFromPeer(t, d, 5)
		}, false},
		{"newer revision is fetched late", func(t *testing.T, d *Daemon, clk *clock.Manual) {
			receiveFromPeer(t, d, 5)
			clk.Advance(isolationTimeout + 1)
			d.members.setRevision(5)
			receiveFromPeer(t, d, 5)
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clk := clock.NewManual(clock.Hour)
			d := testDaemon(t, clk, stand.NewMemoryStore(clk), 3)
			tt.setup(t, d, clk)
			if r := d.members.CheckKeysCurrent(clk.Now()); (r == nil) != tt.accepted {
				t.Errorf("refusal is %v, want keys accepted: %v", r, tt.accepted)
			}
		})
	}
}

// TestDifferentSlotCountIsRejected starts a second daemon with a different number
// of rate slots in its settings. Its check of the layout must fail, because a daemon
// claims slots only after that check.
func TestDifferentSlotCountIsRejected(t *testing.T) {
	clk := clock.NewManual(clock.Hour)
	mem := stand.NewMemoryStore(clk)
	first, second := testDaemon(t, clk, mem, 3), testDaemon(t, clk, mem, 6)
	for range 2 {
		first.rateSlots.checkLayout(t.Context())
		second.rateSlots.checkLayout(t.Context())
	}
	if !first.rateSlots.layoutMatches || second.rateSlots.layoutMatches {
		t.Errorf("layout matches for the first daemon: %v, for the second: %v, want true and false", first.rateSlots.layoutMatches, second.rateSlots.layoutMatches)
	}
}

// TestRemovedMemberLeavesNoState checks that a member with a target and a rate
// slot leaves no state behind after it has died and been removed.
func TestRemovedMemberLeavesNoState(t *testing.T) {
	clk := clock.NewManual(clock.Hour)
	d := testDaemon(t, clk, stand.NewMemoryStore(clk), 3)
	d.members.join([]*member.Member{{
		Instance: "old", Incarnation: 1, Version: 1, DataCentre: "dc", MemberAddress: "127.0.0.1:3", InnerAddress: "127.0.0.1:4",
		Targets: []member.Target{{ID: "t", Service: "svc", Slots: 1}}, SlotClaims: []member.SlotClaim{{Slot: 1, Term: 1}},
	}})
	request := choose.Request{Service: "svc", FloorPercent: 50}
	if _, ok := d.picker.Pick(clk.Now(), request); !ok {
		t.Fatal("target of the member is not a candidate")
	}
	if _, _, ok := d.members.SlotHolder(1); !ok {
		t.Fatal("slot 1 has no holder after the member joined")
	}
	for range 2000 {
		clk.Advance(clock.Second)
		d.members.mu.Lock()
		d.members.applyEffects(d.members.view.Tick(clk.Now()))
		d.members.mu.Unlock()
	}
	if n := d.members.count(); n != 1 {
		t.Errorf("%d members remain, want only the daemon itself", n)
	}
	if _, _, ok := d.members.SlotHolder(1); ok {
		t.Error("slot 1 still has a holder after its member was removed")
	}
	if n := d.picker.TargetCount(); n != 0 {
		t.Errorf("%d targets remain, want none", n)
	}
}

// TestRestartReclaimsSlots restarts a daemon that held all slots, in a fleet whose
// placement assigns some of them to another daemon. The restarted daemon must
// hold all of them again, since no other daemon may claim them before their lease
// ends.
func TestRestartReclaimsSlots(t *testing.T) {
	const count = 6
	clk := clock.NewManual(clock.Hour)
	mem := stand.NewMemoryStore(clk)
	claimSlots := func(d *Daemon) int {
		for range 3 {
			if d.rateSlots.layoutMatches || d.rateSlots.checkLayout(t.Context()) {
				d.rateSlots.readFormerClaims(t.Context())
			}
		}
		for range 3 {
			d.rateSlots.updatePlacement()
			d.rateSlots.writeDueClaims(t.Context())
		}
		return d.rateSlots.heldCount()
	}
	if n := claimSlots(testDaemon(t, clk, mem, count)); n != count {
		t.Fatalf("single daemon holds %d slots, want %d", n, count)
	}
	clk.Advance(clock.Second)
	second := testDaemon(t, clk, mem, count)
	second.members.join([]*member.Member{{
		Instance: "other", Incarnation: 1, Version: 1, DataCentre: "dc", Region: "r", MemberAddress: "127.0.0.1:3", InnerAddress: "127.0.0.1:4",
	}})
	if n := claimSlots(second); n != count {
		t.Errorf("restarted daemon holds %d slots, want %d", n, count)
	}
}
