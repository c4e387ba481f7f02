package recorder

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestDecisionsMatchCodeAndDocument checks that every event named in the code has a number,
// and that docs/EVENTS.md lists the number and the name of every decision.
func TestDecisionsMatchCodeAndDocument(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	require.NoError(t, err)
	for name, number := range Decisions() {
		assert.Contains(t, string(page), fmt.Sprintf("| %d | %s |", number, name))
	}
	eventName := regexp.MustCompile(`Event: "([a-z-]+[a-z])"`)
	seen := 0
	for _, folder := range []string{"holder", "forwarder", "conductor"} {
		files, err := filepath.Glob("../" + folder + "/*.go")
		require.NoError(t, err)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			for _, match := range eventName.FindAllStringSubmatch(string(text), -1) {
				seen++
				assert.NotZero(t, DecisionNumber(match[1]), "%s: %s has no number", file, match[1])
			}
		}
	}
	assert.Greater(t, seen, 30, "the events were not found in the code")
}
