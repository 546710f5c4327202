package roster

import (
	"fmt"
	"testing"

	"chestnutlatch/ident"
	"chestnutlatch/member"
	"chestnutlatch/store"
)

// BenchmarkTake reports the time to read and take in one listing, and the bytes
// of a daemon's key, by the size of the fleet.
func BenchmarkTake(b *testing.B) {
	for _, size := range []int{36, 360, 2100} {
		b.Run(fmt.Sprint("daemons=", size), func(b *testing.B) {
			var keys [][]byte
			bytes := 0
			for i := range size {
				m := member.Member{
					Instance: ident.Instance(fmt.Sprint("sidecar-accra-makola-", i)), Incarnation: 7292271010630037, Version: 3,
					DataCentre: "accra-makola", Region: "accra", InnerAddress: "10.1.0.41:7640", MemberAddress: "10.1.0.41:7641",
					Targets: []member.Target{{ID: "i-d4d5120d0e", Service: "nofi51b", Slots: 4}},
				}
				key, err := member.EncodeMember(&m)
				if err != nil {
					b.Fatal(err)
				}
				keys = append(keys, key)
				bytes += len(key)
			}
			r := New()
			for at := 1; b.Loop(); at++ {
				list := make([]Found, 0, size)
				for _, key := range keys {
					m, err := member.DecodeMember(key)
					if err != nil {
						b.Fatal(err)
					}
					list = append(list, Found{Member: *m, Revision: 1})
				}
				r.Take(1, list, store.Revision(at))
			}
			b.ReportMetric(float64(bytes)/float64(size), "bytes/key")
		})
	}
}
