package locality

import (
	"time"

	"github.com/fescuecourse/fescuecourse/pkg/fleet"
)

// maxLoadsInTransit is the number of adapters that a server can load at a time.
const maxLoadsInTransit = 4

// LoadBacklog returns the shortest time in which a server can work off the loads that
// are due now besides that of the given adapter. It is 0 if the server is loading the
// adapter already or its status is not known.
func LoadBacklog(now time.Time, st *fleet.Status, k fleet.AdapterKey) time.Duration {
	if st == nil || now.Sub(st.ReceivedAt) > staleStatusAge {
		return 0
	}
	if _, loading := st.Loading[k]; loading {
		return 0
	}
	others := max(st.PendingLoads-1, 0)
	return time.Duration(others) * st.LoadTime / maxLoadsInTransit
}
