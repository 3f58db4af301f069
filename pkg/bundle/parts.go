package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"hash/fnv"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/fescuecourse/fescuecourse/pkg/ident"
)

// Sizes of parts in bytes.
const (
	// TargetPartBytes is the size that parts should not exceed.
	TargetPartBytes = 32 << 10
	// MaxPartBytes is the value limit of the key-value service.
	MaxPartBytes = 1 << 20
	// maxInitialAverageBytes limits the average part size when the number of parts is
	// chosen. It is below TargetPartBytes, because hashing distributes sections
	// unevenly.
	maxInitialAverageBytes = 20 << 10
	// minAverageBytes and maxAverageBytes limit the average part size at which the
	// number of parts of the previous version is kept, so that a small change of
	// the bundle size does not rewrite all parts.
	minAverageBytes = 4 << 10
	maxAverageBytes = 26 << 10
	// MaxParts limits the number of parts of one bundle.
	MaxParts = 4096
)

// ErrTooLarge means that a bundle, a part or a root record exceeds a size limit.
var ErrTooLarge = errors.New("bundle is too large")

// ErrPartMismatch means that the name of a part is not the hash of its content, or
// that a peer sent a part that was not requested.
var ErrPartMismatch = errors.New("part does not match its name")

// Part is a piece of a bundle's text, stored under its own key. Name is the SHA-256
// of Content in hexadecimal.
type Part struct {
	Name    string
	Content string
}

// PartName returns the name of a part with the given content, see Part.
func PartName(content string) string {
	sum := sha256.Sum256([]byte(content))
	return hex.EncodeToString(sum[:])
}

// Split distributes sections over parts by a stable hash of their titles. The number
// of parts stays at previous, the number in the previous version, if the average part
// size is within limits. Otherwise it is the smallest power of two with a low enough
// average. The bundle section is left out, because the root record holds the version.
// Split returns ErrTooLarge if there are more than MaxParts parts or a part exceeds
// MaxPartBytes.
func Split(sections []Section, previous int) ([]Part, error) {
	count := partCount(textSize(sections), previous)
	if count > MaxParts {
		return nil, errors.Wrapf(ErrTooLarge, "%d parts", count)
	}
	texts := make([]strings.Builder, count)
	for i := range sections {
		if sections[i].Kind == kindBundle {
			continue
		}
		writeSection(&texts[partIndex(sections[i].Title(), count)], &sections[i])
	}
	parts := make([]Part, count)
	for i := range texts {
		content := texts[i].String()
		if len(content) > MaxPartBytes {
			return nil, errors.Wrapf(ErrTooLarge, "part with %d bytes", len(content))
		}
		parts[i] = Part{Name: PartName(content), Content: content}
	}
	return parts, nil
}

// textSize returns the size of the sections as text, in bytes.
func textSize(sections []Section) int {
	n := 0
	for i := range sections {
		n += len(sections[i].Title()) + len("[]\n")
		for _, k := range sections[i].Keys {
			n += len(k.Name) + len(" = \n") + len(k.Value)
		}
	}
	return n
}

func partCount(bytes, previous int) int {
	if previous > 0 && bytes <= previous*maxAverageBytes && (previous == 1 || bytes >= previous*minAverageBytes) {
		return previous
	}
	count := 1
	for bytes > count*maxInitialAverageBytes {
		count *= 2
	}
	return count
}

// partIndex returns the index of the part, out of count, for a section title.
func partIndex(title string, count int) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(title)) // never fails
	sum := h.Sum64()
	return int((sum ^ sum>>32) % uint64(count))
}

// Join is the inverse of Split: it returns the canonical text of a bundle with the
// given version and parts. It returns ErrPartMismatch if the name of a part is not
// the hash of its content, or a findings.List.
func Join(version ident.BundleVersion, parts []Part) (string, error) {
	var text strings.Builder
	text.WriteString(versionSection(version))
	for _, p := range parts {
		if PartName(p.Content) != p.Name {
			return "", errors.Wrapf(ErrPartMismatch, "part %s", p.Name)
		}
		text.WriteString(p.Content)
	}
	sections, found := Sections("bundle", text.String())
	if err := found.Err(); err != nil {
		return "", err
	}
	return Format(slices.Clip(sections)), nil
}
