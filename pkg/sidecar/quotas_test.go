package sidecar

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
)

// Guards against a quota that each entry gets in full, and against credit for an entry that has
// given up, which a suspended sidecar would grant on its return.
func TestEntriesShareTheCreditOfAQuota(t *testing.T) {
	h := newHub(make(chan struct{}, 1))
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	ask := func(ctx context.Context, entry string) (*fescuev1.LeaseCreditResponse, error) {
		return h.LeaseCredit(ctx, &fescuev1.LeaseCreditRequest{
			EntryId: entry, Team: "tokachi", RatePerSecond: 0.1, Burst: 1000, ConfigVersion: 1, Needed: 400, LifetimeMs: 8000,
		})
	}
	_, err := ask(gone, "a")
	assert.ErrorIs(t, err, context.Canceled)
	granted := 0.0
	for _, entry := range []string{"a", "b", "c"} {
		resp, err := ask(context.Background(), entry)
		assert.NilError(t, err)
		granted += resp.GetGranted()
		assert.Equal(t, resp.GetGranted() == 0, resp.GetRetryAfterMs() > 0)
	}
	assert.Equal(t, granted, 400.0, "a new sidecar starts with half of the burst")
}
