package gateway

import (
	"context"
	"net/http"
)

// authFilter finds the team that holds the API key of a request, before the body is read. It
// refuses requests without a valid key, except on open routes.
type authFilter struct{ g *Gateway }

func (f authFilter) do(ctx context.Context, x *exchange, next next) *failure {
	if !x.table.Keyed() {
		return next(ctx, x)
	}
	x.team = x.table.Team(x.call.APIKey)
	if x.team == nil && !x.route.Open {
		return f.refuse(x)
	}
	return next(ctx, x)
}

// refuse returns the failure of a request without a valid key.
func (f authFilter) refuse(x *exchange) *failure {
	if x.call.APIKey == "" {
		f.g.metrics.missingKeys.Inc(1)
		return rejected(http.StatusUnauthorized, "the request has no API key")
	}
	f.g.metrics.unknownKeys.Inc(1)
	return rejected(http.StatusUnauthorized, "the API key is not valid")
}
