package soak

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/standin/platform"
)

// Guards against a soak test that accepts runs with revoked keys, runs for another team or
// valid keys that are refused, or that reports what the bounds allow.
func TestCheckKey(t *testing.T) {
	now := time.Now()
	steady := &testKey{team: "a"}
	revoked := &testKey{team: "a", revoked: now.Add(-2 * keyBound)}
	justRevoked := &testKey{team: "a", revoked: now.Add(-keyBound / 2)}
	added := &testKey{team: "a", issued: now.Add(-newKeyTime / 2)}
	run := []platform.Run{{Tenant: "a"}}
	for name, tc := range map[string]struct {
		key      *testKey
		status   int
		runs     []platform.Run
		findings int
	}{
		"valid":                {key: steady, status: http.StatusServiceUnavailable},
		"valid and refused":    {key: steady, status: http.StatusUnauthorized, findings: 1},
		"other team":           {key: steady, status: http.StatusBadGateway, runs: []platform.Run{{Tenant: "b"}}, findings: 1},
		"key seen":             {key: steady, status: http.StatusBadGateway, runs: []platform.Run{{Tenant: "a", KeySeen: true}}, findings: 1},
		"revoked":              {key: revoked, status: http.StatusUnauthorized},
		"revoked and ran":      {key: revoked, status: http.StatusBadGateway, runs: run, findings: 1},
		"just revoked and ran": {key: justRevoked, status: http.StatusBadGateway, runs: run},
		"just added":           {key: added, status: http.StatusUnauthorized},
	} {
		r := &requestRecord{key: tc.key, status: tc.status, sent: now, inRecovery: true}
		assert.Equal(t, len(check(r, tc.runs, 0)), tc.findings, "%s: %v", name, check(r, tc.runs, 0))
	}
}
