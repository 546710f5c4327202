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

// testDaemon is a daemon without sockets, on a clock of its own.
func testDaemon(t *testing.T, clk clock.Clock, mem *stand.Memory, slots int) *Daemon {
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

// hear lets the daemon hear a peer that tells of a revision.
func hear(t *testing.T, d *Daemon, rev ident.Revision) {
	t.Helper()
	peer := &member.Member{Instance: "peer", Incarnation: 1, Version: 1, DataCentre: "dc", MemberAddress: "127.0.0.1:3"}
	b, err := member.Encode(member.Message{
		Kind: member.MessagePing, Sender: "peer", Incarnation: 1, Revision: rev, Members: []*member.Member{peer},
	})
	if err != nil {
		t.Fatal(err)
	}
	d.members.receive(member.Seal([]byte(d.cfg.FleetSecret), b), "127.0.0.1:3")
}

// TestIsolatedDaemonTrustsNoKey covers the rule for a daemon that may have
// missed a withdrawal.
func TestIsolatedDaemonTrustsNoKey(t *testing.T) {
	tests := []struct {
		name  string
		do    func(t *testing.T, d *Daemon, clk *clock.Manual)
		trust bool
	}{
		{"hears a peer", func(t *testing.T, d *Daemon, _ *clock.Manual) { hear(t, d, 0) }, true},
		{"heard a peer long ago", func(t *testing.T, d *Daemon, clk *clock.Manual) {
			hear(t, d, 0)
			clk.Advance(isolatedAfter + 1)
		}, false},
		{"hears only the store", func(_ *testing.T, d *Daemon, clk *clock.Manual) {
			clk.Advance(isolatedAfter + 1)
			d.syncer.touched()
		}, true},
		{"knows of a newer revision for a moment", func(t *testing.T, d *Daemon, _ *clock.Manual) { hear(t, d, 5) }, true},
		{"cannot fetch a newer revision", func(t *testing.T, d *Daemon, clk *clock.Manual) {
			hear(t, d, 5)
			clk.Advance(isolatedAfter + 1)
			hear(t, d, 5)
		}, false},
		{"fetched it late", func(t *testing.T, d *Daemon, clk *clock.Manual) {
			hear(t, d, 5)
			clk.Advance(isolatedAfter + 1)
			d.members.setRevision(5)
			hear(t, d, 5)
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clk := clock.NewManual(clock.Hour)
			d := testDaemon(t, clk, stand.NewMemory(clk), 3)
			tt.do(t, d, clk)
			if r := d.members.Trust(clk.Now()); (r == nil) != tt.trust {
				t.Errorf("Trust() = %v, want trust %v", r, tt.trust)
			}
		})
	}
}

// TestDifferentSlotCountHoldsNothing starts a second daemon whose settings
// count the rate slots differently.
func TestDifferentSlotCountHoldsNothing(t *testing.T) {
	clk := clock.NewManual(clock.Hour)
	mem := stand.NewMemory(clk)
	first, second := testDaemon(t, clk, mem, 3), testDaemon(t, clk, mem, 6)
	for range 2 {
		first.slots.agree(t.Context())
		second.slots.agree(t.Context())
	}
	if !first.slots.agreed || second.slots.agreed {
		t.Errorf("first agrees %v, second %v", first.slots.agreed, second.slots.agreed)
	}
}

// TestForgottenMemberLeavesNothing lets a member with a target and a rate slot
// die and be forgotten.
func TestForgottenMemberLeavesNothing(t *testing.T) {
	clk := clock.NewManual(clock.Hour)
	d := testDaemon(t, clk, stand.NewMemory(clk), 3)
	d.members.join([]*member.Member{{
		Instance: "old", Incarnation: 1, Version: 1, DataCentre: "dc", MemberAddress: "127.0.0.1:3", InnerAddress: "127.0.0.1:4",
		Targets: []member.Target{{ID: "t", Service: "svc", Slots: 1}}, Slots: []member.SlotClaim{{Slot: 1, Term: 1}},
	}})
	want := choose.Want{Service: "svc", FloorPercent: 50}
	if _, ok := d.picker.Pick(clk.Now(), want); !ok {
		t.Fatal("the target is not known")
	}
	if _, _, ok := d.members.SlotHolder(1); !ok {
		t.Fatal("the slot's holder is not known")
	}
	for range 2000 {
		clk.Advance(clock.Second)
		d.members.mu.Lock()
		d.members.carryOut(d.members.view.Tick(clk.Now()))
		d.members.mu.Unlock()
	}
	if n := d.members.count(); n != 1 {
		t.Errorf("%d members are known, want only the daemon itself", n)
	}
	if _, _, ok := d.members.SlotHolder(1); ok {
		t.Error("the slot still has its holder")
	}
	if n := d.picker.Count(); n != 0 {
		t.Errorf("%d targets are known, want none", n)
	}
}

// TestRestartTakesItsSlotsBack kills a daemon that held all slots and starts it
// again in a fleet whose placement names another daemon for some of them.
func TestRestartTakesItsSlotsBack(t *testing.T) {
	const count = 6
	clk := clock.NewManual(clock.Hour)
	mem := stand.NewMemory(clk)
	hold := func(d *Daemon) int {
		for range 3 {
			if d.slots.agreed || d.slots.agree(t.Context()) {
				d.slots.recall(t.Context())
			}
		}
		for range 3 {
			d.slots.place()
			d.slots.work(t.Context())
		}
		return d.slots.count()
	}
	if n := hold(testDaemon(t, clk, mem, count)); n != count {
		t.Fatalf("a daemon alone holds %d slots, want %d", n, count)
	}
	clk.Advance(clock.Second)
	second := testDaemon(t, clk, mem, count)
	second.members.join([]*member.Member{{
		Instance: "other", Incarnation: 1, Version: 1, DataCentre: "dc", Region: "r", MemberAddress: "127.0.0.1:3", InnerAddress: "127.0.0.1:4",
	}})
	if n := hold(second); n != count {
		t.Errorf("after its restart the daemon holds %d slots, want %d: nobody else may take them", n, count)
	}
}
