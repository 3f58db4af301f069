package daemon

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fescuecourse/fescuecourse/pkg/config"
)

// figures are the numbers that a platform may write in any form, by their placeholder in
// the templates of deploy/.
var figures = map[string]float64{
	"internalPorts.0":         7380,
	"bounds.graceS":           8,
	"bounds.retryBudgetRatio": 0.2,
	"bounds.retrySlack":       38.26,
	"bounds.configApplyMs":    4000,
	"bounds.drainMs":          2000.5,
	"bounds.quotaWindowS":     8.5,
	"bounds.quotaOverage":     0.1,
	"bounds.quotaSlack":       110000,
	"limits.memoryMb":         216.5,
	"limits.maxFds":           4100,
}

// forms are the ways to write a number.
var forms = map[string]func(float64) string{
	"shortest": func(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) },
	"fraction": func(f float64) string { return strconv.FormatFloat(f, 'f', 6, 64) },
	"exponent": func(f float64) string { return strconv.FormatFloat(f, 'e', -1, 64) },
	"capital":  func(f float64) string { return strconv.FormatFloat(f, 'E', 6, 64) },
}

var placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)

// section matches text that is rendered for a value that is true (#) or that is not (^).
var section = regexp.MustCompile(`(?s)\{\{([#^])[^}]*\}\}(.*?)\{\{/[^}]*\}\}`)

// render fills a template in with figures of one form and with text for all else. The values
// of sections are all true or all absent.
func render(t *testing.T, template string, form func(float64) string, present bool) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "deploy", template))
	assert.NilError(t, err)
	text = section.ReplaceAllFunc(text, func(s []byte) []byte {
		parts := section.FindSubmatch(s)
		if (parts[1][0] == '#') == present {
			return parts[2]
		}
		return nil
	})
	return placeholder.ReplaceAllStringFunc(string(text), func(p string) string {
		name := placeholder.FindStringSubmatch(p)[1]
		if f, ok := figures[name]; ok {
			return form(f)
		}
		return "text"
	})
}

// Guards against a whole day without processes: a deployment whose figures are no whole
// numbers ended every process at its start.
func TestTemplatesTakeFiguresInEveryForm(t *testing.T) {
	for template, role := range map[string]*role{"entry.ini": newRoutedEntryRole(), "endpoint.ini": newRoutedEndpointRole()} {
		for name, form := range forms {
			for _, present := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/%t", template, name, present), func(t *testing.T) {
					set := config.NewSet(template, io.Discard)
					role.settings.Register(set)
					path := write(t, t.TempDir(), "settings.ini", render(t, template, form, present))
					assert.NilError(t, set.Parse([]string{"-config", path}))
					role.check(set)
					assert.NilError(t, set.Err())
				})
			}
		}
	}
}
