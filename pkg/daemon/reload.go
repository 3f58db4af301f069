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

// filePollInterval is how often the modification time of the settings file is
// checked, so that a change applies without a signal.
const filePollInterval = 2 * time.Second

// reloader rereads the settings on SIGHUP and when the settings file changes.
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

// fileModTime returns the modification time of the settings file, or the zero time
// if the file cannot be read.
func (r *reloader) fileModTime() time.Time {
	info, err := os.Stat(r.values["config"])
	if err != nil {
		return time.Time{} // there is no file, or it is being replaced
	}
	return info.ModTime()
}

// run reloads the settings until ctx is done.
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

// reload applies a changed log level and logs the names of all other changed
// settings, which take effect at the next start. Invalid settings change nothing.
func (r *reloader) reload(cause string) {
	r.modTime = r.fileModTime()
	name, role, ok := selectRole(r.args)
	if !ok {
		return
	}
	set, err := parseSettings(name, role, r.args[1:], io.Discard)
	if err != nil {
		r.log.Error().Str("cause", cause).Err(err).Msg("settings are invalid; keeping the previous settings")
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

// applyLevel sets the minimum log level of the process.
func applyLevel(name string) {
	level, err := zerolog.ParseLevel(name)
	if err == nil { // parseSettings has rejected unknown levels
		zerolog.SetGlobalLevel(level)
	}
}
