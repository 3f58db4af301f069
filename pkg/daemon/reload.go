package daemon

import (
	"context"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/fescuecourse/fescuecourse/pkg/config"
	"github.com/fescuecourse/fescuecourse/pkg/logging"
)

// filePollInterval is how often the settings file is looked at. It may change without
// a signal.
const filePollInterval = 2 * time.Second

// reloader reads the settings again on SIGHUP and when the file has changed.
type reloader struct {
	args    []string
	log     logging.Logger
	values  map[string]string
	modTime time.Time
}

func newReloader(args []string, set *config.Set, log logging.Logger) *reloader {
	r := &reloader{args: args, log: log.For(logging.ComponentEntry), values: set.Values()}
	r.modTime = r.fileModTime()
	return r
}

// fileModTime returns when the settings file was last written.
func (r *reloader) fileModTime() time.Time {
	info, err := os.Stat(r.values["config"])
	if err != nil {
		return time.Time{} // no file, or one that is being replaced
	}
	return info.ModTime()
}

// run reloads until ctx ends.
func (r *reloader) run(ctx context.Context, reloadSignals <-chan os.Signal) {
	tick := time.NewTicker(filePollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloadSignals:
			r.reload("signal")
		case <-tick.C:
			if at := r.fileModTime(); !at.IsZero() && !at.Equal(r.modTime) {
				r.reload("file changed")
			}
		}
	}
}

// reload applies what can change while the process runs and names the rest.
func (r *reloader) reload(cause string) {
	r.modTime = r.fileModTime()
	name, role, ok := selectRole(r.args)
	if !ok {
		return
	}
	set, err := parseSettings(name, role, r.args[1:], io.Discard)
	if err != nil {
		r.log.Error().Str("cause", cause).Err(err).Msg("settings have findings, the last ones stay in force")
		return
	}
	values := set.Values()
	var notApplied []string
	for key, value := range values {
		if key != logLevelSetting && r.values[key] != value {
			notApplied = append(notApplied, key)
		}
	}
	slices.Sort(notApplied)
	r.values = values
	r.log.Info().
		Str("cause", cause).
		Str("log_level", *role.logLevel).
		Str("at_next_start", strings.Join(notApplied, ",")).
		Msg("settings read again")
	applyLevel(*role.logLevel)
}

const logLevelSetting = "log-level"

// applyLevel sets the lowest level that is logged by the process.
func applyLevel(name string) {
	level, err := zerolog.ParseLevel(name)
	if err == nil { // checked by parse
		zerolog.SetGlobalLevel(level)
	}
}
