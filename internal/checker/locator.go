package checker

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Locator knows the lines of the values in a JSON text, which may contain comments. Keys
// are looked up regardless of case, as encoding/json does.
type Locator struct {
	text     []byte
	offset   int
	line     int
	lines    map[string]int
	repeated []Position
}

// NewLocator returns the Locator of a text; if the text is not valid, it knows no lines.
func NewLocator(text []byte) *Locator {
	l := &Locator{text: text, line: 1, lines: map[string]int{}}
	if root, err := hujson.Parse(text); err == nil {
		l.walk(&root, "")
	}
	return l
}

// At returns the position of a key such as "teams[2].name". The line of an absent value
// is that of the object or list that lacks it.
func (l *Locator) At(key string) Position {
	for path := strings.ToLower(key); ; path = path[:max(0, strings.LastIndexAny(path, ".["))] {
		if line, ok := l.lines[path]; ok || path == "" {
			return Position{Line: line, Key: key}
		}
	}
}

// Has reports whether the text has a value for a key.
func (l *Locator) Has(key string) bool {
	return l.lines[strings.ToLower(key)] > 0
}

// Repeated returns the keys that an object has more than once, each at its second and
// further places.
func (l *Locator) Repeated() []Position {
	return l.repeated
}

// LineAt returns the line of an offset in a text.
func LineAt(text []byte, offset int64) int {
	return 1 + bytes.Count(text[:min(int64(len(text)), max(0, offset))], []byte("\n"))
}

// walk records the lines of a value and of all values inside it. It visits them in the
// order of the text, so that each newline is counted once.
func (l *Locator) walk(v *hujson.Value, path string) {
	l.lines[strings.ToLower(path)] = l.advance(v.StartOffset)
	switch value := v.Value.(type) {
	case *hujson.Array:
		for i := range value.Elements {
			l.walk(&value.Elements[i], path+"["+strconv.Itoa(i)+"]")
		}
	case *hujson.Object:
		seen := make(map[string]bool, len(value.Members))
		for i := range value.Members {
			m := &value.Members[i]
			name, _ := m.Name.Value.(hujson.Literal)
			key := name.String()
			memberPath := key
			if path != "" {
				memberPath = path + "." + key
			}
			if folded := strings.ToLower(key); seen[folded] {
				l.repeated = append(l.repeated, Position{Line: l.advance(m.Name.StartOffset), Key: memberPath})
			} else {
				seen[folded] = true
			}
			l.walk(&m.Value, memberPath)
		}
	}
}

func (l *Locator) advance(offset int) int {
	l.line += bytes.Count(l.text[l.offset:offset], []byte("\n"))
	l.offset = offset
	return l.line
}
