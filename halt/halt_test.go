package halt

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"chestnutlatch/clock"
)

// TestTimelineOfPlatform guards against requests that are accepted or sent so late that they
// cannot end before the cut: of a limit of 6 s, a target that still works in the last second
// is excused for requests from the first three seconds only.
func TestTimelineOfPlatform(t *testing.T) {
	tests := []struct {
		name       string
		limit      clock.Millis
		onPlatform bool
		want       Timeline
	}{
		{"platform", 6000, true, Timeline{Drain: 1500, Close: 2500, LastSend: 3000, Cut: 5000, Exit: 5400}},
		{"long limit", 60_000, true, Timeline{Drain: 1500, Close: 2500, LastSend: 30_000, Cut: 59_000, Exit: 59_400}},
		{"short limit", 1200, true, Timeline{Drain: 300, Close: 500, LastSend: 600, Cut: 1000, Exit: 1080}},
		{"own interface", 15_000, false, Timeline{Close: 700, LastSend: 7500, Cut: 14_000, Exit: 14_400}},
	}
	for _, tt := range tests {
		if got := New(tt.limit, tt.onPlatform); got != tt.want {
			t.Errorf("%s: got %+v, want %+v", tt.name, got, tt.want)
		}
	}
}

// TestTimelineIsOrdered guards against a step that comes before the one it depends on, for
// any limit that the settings allow.
func TestTimelineIsOrdered(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		limit := clock.Millis(rapid.Int64Range(1000, 600_000).Draw(r, "limit"))
		got := New(limit, rapid.Bool().Draw(r, "onPlatform"))
		if times := []clock.Millis{0, got.Drain, got.Close, got.LastSend, got.Cut, got.Exit, limit}; !slices.IsSorted(times) {
			r.Fatalf("limit %d: %+v is not in order", limit, got)
		}
		if got.Cut-got.LastSend < limit/4 {
			r.Fatalf("limit %d: %+v leaves too little time for the last request", limit, got)
		}
	})
}
