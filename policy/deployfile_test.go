package policy

import (
	"os"
	"strings"
	"testing"
)

// The list "policy" in the deploy file names exactly the files of this package that contain decisions: all but the
// package comment, the settings, the events and the actions. Lines in the listed files have at most 110 characters, so
// that two files can be read side by side.
func TestDeployFileListsDecisionFiles(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, list, _ := strings.Cut(string(deploy), "policy = [")
	list, _, _ = strings.Cut(list, "]")
	named := map[string]bool{}
	for file := range strings.SplitSeq(list, ",") {
		named[strings.TrimPrefix(strings.Trim(file, " \""), "policy/")] = true
	}
	files, err := os.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	filesWithoutDecisions := map[string]bool{"doc.go": true, "settings.go": true, "events.go": true, "actions.go": true}
	decisionFiles := 0
	for _, f := range files {
		name := f.Name()
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			continue
		}
		if decides := !filesWithoutDecisions[name]; decides != named[name] {
			t.Errorf("%s: contains decisions %t, listed under policy %t", name, decides, named[name])
		}
		if !named[name] {
			continue
		}
		decisionFiles++
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for i, l := range strings.Split(string(text), "\n") {
			if len(l) > 110 {
				t.Errorf("%s:%d: the line has %d characters, want at most 110", name, i+1, len(l))
			}
		}
	}
	if decisionFiles != len(named) {
		t.Errorf("%d files contain decisions, but %d are listed under policy", decisionFiles, len(named))
	}
}
