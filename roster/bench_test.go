package roster

import (
	"fmt"
	"testing"

	"chestnutlatch/ident"
	"chestnutlatch/member"
	"chestnutlatch/store"
)

// BenchmarkApplyListing measures the time to decode and apply one listing, and
// the size of the value of a daemon's key, for fleets of several sizes.
func BenchmarkApplyListing(b *testing.B) {
	for _, size := range []int{36, 360, 2100} {
		b.Run(fmt.Sprint("daemons=", size), func(b *testing.B) {
			var values [][]byte
			totalBytes := 0
			for i := range size {
				m := member.Member{
					Instance: ident.Instance(fmt.Sprint("sidecar-accra-makola-", i)), Incarnation: 7292271010630037, Version: 3,
					DataCentre: "accra-makola", Region: "accra", InnerAddress: "10.1.0.41:7640", MemberAddress: "10.1.0.41:7641",
					Targets: []member.Target{{ID: "i-d4d5120d0e", Service: "nofi51b", Slots: 4}},
				}
				value, err := member.EncodeMember(&m)
				if err != nil {
					b.Fatal(err)
				}
				values = append(values, value)
				totalBytes += len(value)
			}
			r := New()
			for revision := 1; b.Loop(); revision++ {
				list := make([]ListedMember, 0, size)
				for _, value := range values {
					m, err := member.DecodeMember(value)
					if err != nil {
						b.Fatal(err)
					}
					list = append(list, ListedMember{Member: *m, Revision: 1})
				}
				r.ApplyListing(1, list, store.Revision(revision))
			}
			b.ReportMetric(float64(totalBytes)/float64(size), "bytes/key")
		})
	}
}
