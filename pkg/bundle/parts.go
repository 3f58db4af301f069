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
	// TargetPartBytes is the size that parts should stay below.
	TargetPartBytes = 32 << 10
	// MaxPartBytes is the value limit of the key-value service.
	MaxPartBytes = 1 << 20
	// newAverageBytes bounds the average part when the number of parts is chosen.
	// It leaves room for uneven hashing below TargetPartBytes.
	newAverageBytes = 20 << 10
	// minAverageBytes and maxAverageBytes bound the average part for which the
	// number of parts of the previous version is kept, so that a small change of
	// size does not rewrite all parts.
	minAverageBytes = 4 << 10
	maxAverageBytes = 26 << 10
	// MaxParts bounds the number of parts of one bundle.
	MaxParts = 4096
)

// ErrTooLarge reports a bundle whose parts exceed a limit.
var ErrTooLarge = errors.New("bundle is too large")

// ErrPartMismatch reports a part whose content does not match its name.
var ErrPartMismatch = errors.New("part does not match its name")

// Part is one stored piece of a bundle. Name is the SHA-256 of Content in hexadecimal.
type Part struct {
	Name    string
	Content string
}

// PartName returns the name of a part with the given content.
func PartName(content string) string {
	sum := sha256.Sum256([]byte(content))
	return hex.EncodeToString(sum[:])
}

// Split distributes sections over parts by a stable hash of their titles. The
// number of parts is a power of two: previous, if the average size stays
// acceptable, otherwise the smallest one that keeps the average small. The
// section with the version belongs to the root record and is left out. It returns
// ErrTooLarge for too many parts or a part above MaxPartBytes.
func Split(sections []Section, previous int) ([]Part, error) {
	count := partCount(size(sections), previous)
	if count > MaxParts {
		return nil, errors.Wrapf(ErrTooLarge, "%d parts", count)
	}
	texts := make([]strings.Builder, count)
	for i := range sections {
		if sections[i].Kind == kindBundle {
			continue
		}
		writeSection(&texts[bucket(sections[i].Title(), count)], &sections[i])
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

func size(sections []Section) int {
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
	for bytes > count*newAverageBytes {
		count *= 2
	}
	return count
}

func bucket(title string, count int) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(title)) // never fails
	sum := h.Sum64()
	return int((sum ^ sum>>32) % uint64(count))
}

// Join returns the canonical text of a bundle with the given parts. It returns
// ErrPartMismatch for a part whose content does not match its name.
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
