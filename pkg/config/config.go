// Package config reads settings from the command line, the environment and an INI
// file. It reports all invalid settings together.
package config

import (
	"flag"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
	"gopkg.in/ini.v1"

	"github.com/fescuecourse/fescuecourse/pkg/findings"
)

// envPrefix is the prefix of environment variables, such as FESCUE_LISTEN.
const envPrefix = "FESCUE"

// ErrUsage marks errors in the command line, such as an unknown flag. Programs exit
// with status 2.
var ErrUsage = errors.New("invalid command line")

// Set is a set of settings. Each setting is a flag, an environment variable and a key
// of the INI file. In the name of a flag, a dot separates the INI section from the key.
type Set struct {
	*flag.FlagSet
	file *string
	// lines maps each setting in the INI file to its line number.
	lines map[string]int
	found findings.List
}

// NewSet returns a set for the named program with the single flag -config. Usage
// texts are written to w.
func NewSet(name string, w io.Writer) *Set {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(w)
	return &Set{FlagSet: fs, file: fs.String("config", "", "INI `file` with settings"), lines: map[string]int{}}
}

// Parse reads the command line, the environment and the INI file. The command line
// overrides the environment, which overrides the file. Parse returns flag.ErrHelp if
// help was requested, an error marked ErrUsage for an invalid command line, a
// findings.List for invalid variables or file contents, and another error if the file
// cannot be read.
func (s *Set) Parse(args []string) error {
	err := s.FlagSet.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return err
	}
	if err != nil {
		return errors.Mark(err, ErrUsage)
	}
	if err := ff.Parse(s.FlagSet, args, ff.WithEnvVarPrefix(envPrefix)); err != nil {
		s.found.Addf("environment", 0, "%v", err)
	}
	if *s.file == "" {
		return s.found.Err()
	}
	return s.parseFile(*s.file)
}

func (s *Set) parseFile(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	explicit := map[string]bool{}
	s.Visit(func(f *flag.Flag) { explicit[f.Name] = true })
	values, err := s.parseINI(path, text)
	if err != nil {
		return err
	}
	for _, fromFile := range values {
		s.apply(path, fromFile, explicit)
	}
	return s.found.Err()
}

// setting is a key of the INI file with its value and line number.
type setting struct {
	name  string
	value string
	line  int
}

func (s *Set) parseINI(path string, text []byte) ([]setting, error) {
	f, err := ini.LoadSources(ini.LoadOptions{}, text)
	if err != nil {
		s.found.Addf(path, 0, "%v", err)
		return nil, s.found
	}
	lines := lineNumbers(string(text))
	var out []setting
	for _, sec := range f.Sections() {
		for _, key := range sec.Keys() {
			name := key.Name()
			if sec.Name() != ini.DefaultSection {
				name = sec.Name() + "." + name
			}
			out = append(out, setting{name: name, value: key.Value(), line: lines[keyPosition{section: sec.Name(), key: key.Name()}]})
		}
	}
	return out, nil
}

// apply sets a value from the file unless the command line or the environment has set
// it. It records a finding for an unknown setting or an invalid value.
func (s *Set) apply(path string, fromFile setting, explicit map[string]bool) {
	f := s.Lookup(fromFile.name)
	if f == nil || fromFile.name == "config" {
		s.found.Addf(path, fromFile.line, "unknown setting %q", fromFile.name)
		return
	}
	s.lines[fromFile.name] = fromFile.line
	if explicit[fromFile.name] {
		return
	}
	if err := s.Set(fromFile.name, fromFile.value); err != nil {
		s.found.Addf(path, fromFile.line, "setting %q: %v", fromFile.name, err)
	}
}

// Values returns the values of all settings as text, by name.
func (s *Set) Values() map[string]string {
	out := map[string]string{}
	s.VisitAll(func(f *flag.Flag) { out[f.Name] = f.Value.String() })
	return out
}

// Requiref records a finding for the named setting unless ok is true. The finding has
// the line of the setting in the INI file if the setting is there.
func (s *Set) Requiref(ok bool, name, format string, args ...any) {
	if ok {
		return
	}
	file := "settings"
	if *s.file != "" {
		file = *s.file
	}
	s.found.Addf(file, s.lines[name], "setting %q is %q: "+format, append([]any{name, s.value(name)}, args...)...)
}

// value returns the value of the named setting as text, or an empty string if there is no
// such setting.
func (s *Set) value(name string) string {
	f := s.Lookup(name)
	if f == nil {
		return ""
	}
	return f.Value.String()
}

// RequirePositive records a finding for the named setting unless d is positive.
func (s *Set) RequirePositive(name string, d time.Duration) {
	s.Requiref(d > 0, name, "must be above zero")
}

// Err returns all findings recorded so far as a sorted findings.List, or nil.
func (s *Set) Err() error {
	s.found.Sort()
	return s.found.Err()
}

// keyPosition identifies a key by its section and name in an INI file.
type keyPosition struct {
	section string
	key     string
}

// lineNumbers maps the sections and keys of an INI text to the line numbers of their
// first occurrences. A section heading has an empty key.
func lineNumbers(text string) map[keyPosition]int {
	out := map[keyPosition]int{}
	section := ini.DefaultSection
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == ';' || line[0] == '#' {
			continue
		}
		key := ""
		if line[0] == '[' {
			section = strings.TrimSpace(strings.Trim(strings.SplitN(line, "]", 2)[0], "[]"))
		} else {
			key = strings.TrimSpace(strings.SplitN(line, "=", 2)[0])
		}
		if _, ok := out[keyPosition{section: section, key: key}]; !ok {
			out[keyPosition{section: section, key: key}] = i + 1
		}
	}
	return out
}
