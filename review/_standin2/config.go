package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// The services and routes of all cases, sized like those of the small deployments.
const (
	modelService = "steam-lm"
	plainService = "till-app"
	modelName    = "m0"
	hostName     = "ficu95.example"
	maxAdapters  = 9
	modelLoad    = 2100 * time.Millisecond // from the weight store
	modelDisk    = 840 * time.Millisecond  // from the server's own disk
	adapterLoad  = 250 * time.Millisecond
)

func (b *bed) writeConfig(version int) {
	route := func(prefix, kind, service string, timeout, target, attempts int, resumable bool) map[string]any {
		return map[string]any{"name": strings.Trim(prefix, "/"), "host": hostName, "prefix": prefix, "kind": kind, "service": service, "split": []any{},
			"timeoutMs": timeout, "targetLatencyMs": target, "priority": 1, "maxAttempts": attempts, "resumable": resumable, "gapTargetMs": 400, "sticky": kind == "streaming"}
	}
	text, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			route("/chat/", "streaming", modelService, 15000, 800, 2, true),
			route("/notes/", "streaming", modelService, 10000, 1000, 1, false),
			route("/feed/", "streaming", plainService, 15000, 800, 2, true),
			route("/sale/", "non_idempotent", plainService, 1000, 150, 1, false),
			route("/code/", "idempotent", plainService, 1000, 150, 2, false),
		},
		"services": []any{
			map[string]any{"name": modelService, "healthPath": "/health", "maxConnections": 370, "engine": map[string]any{
				"slots": 64, "kvCacheTokens": 251944, "weightsMb": 74800, "maxAdapters": maxAdapters, "loadsPerS": 2.1,
				"models": []any{map[string]any{"name": modelName, "weightsMb": 72700, "loadTimeS": 2.1, "adapters": 3000, "adapterSizeMb": 66}},
			}},
			map[string]any{"name": plainService, "healthPath": "/health", "maxConnections": 110},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	check(err)
	b.st.put("op/config", string(text))
}

// promptHeaders returns the headers of a request for an adapter.
func promptHeaders(adapter, session string) map[string]string {
	return map[string]string{
		pre + "Model":         modelName + "/" + adapter,
		pre + "Token-Count":   "800,240",
		pre + "Prompt-Prefix": fmt.Sprintf("5c1e07a2:200,%s:600", session),
	}
}
