package daemon

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/route"
	"github.com/fescuecourse/fescuecourse/platform"
)

// PlatformConfigs reads configurations of the users' platform for command-line tools.
type PlatformConfigs struct{}

// Decode decodes the text of a configuration.
func (PlatformConfigs) Decode(text []byte) (route.Config, error) {
	return platform.Decoder{}.Config(text)
}

// InForce reads the configuration in force from the platform's store.
func (PlatformConfigs) InForce(ctx context.Context, address string) (route.Config, error) {
	d := platform.Decoder{}
	pairs, _, err := platformStore(address, entryWatchWait, 0).List(ctx, d.OperatorPrefix())
	if err != nil {
		return route.Config{}, err
	}
	for _, p := range pairs {
		item, err := d.Operator(p)
		if err != nil {
			return route.Config{}, errors.Wrapf(err, "decode %s", p.Key)
		}
		if item.Config != nil {
			return *item.Config, nil
		}
	}
	return route.Config{}, errors.New("the store has no configuration")
}
