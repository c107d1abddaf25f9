package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// platformNames matches names of the platform's interfaces, which only code in the
// folder platform may contain.
var platformNames = regexp.MustCompile(`kv-(key|range|watch|txn|lease|keep)|op/(config|evacuate)|` +
	`Lentilstand-(Request-Id|Deadline-Ms|Expect-Replica|Response-Seal|Not-Executed|Tenant|Token-Counts|Prompt-Prefix|Replica-|Cold-Ms|Length-Hint)|` +
	`trafficSplit|coldLeftMs|coldPerS|streamResume|gapAimMs|targetLatencyMs|"maxAttempts|sessionAffinity|apiKeys|expertMb|kvCapacity|` +
	`lentilstand/(ready|resolve|report|order|picked)|LENTILSTAND_CONFIG`)

func TestOnlyThePlatformFolderKnowsThePlatformsNames(t *testing.T) {
	root := filepath.Join("..", "..")
	var found []string
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name := filepath.ToSlash(path)
		if entry.IsDir() {
			if name == "../../platform" || strings.HasPrefix(entry.Name(), ".git") || entry.Name() == "target" {
				return fs.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") || strings.HasSuffix(name, ".pb.go") {
			return nil
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, match := range platformNames.FindAllString(string(source), -1) {
			found = append(found, name+": "+match)
		}
		return nil
	})
	require.NoError(t, err)
	require.Empty(t, found)
}
