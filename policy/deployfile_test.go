package policy

import (
	"os"
	"strings"
	"testing"
)

// The deploy file names each file that holds deciding code, and no other: the rest holds the vocabulary. Their lines
// are short enough to be read side by side.
func TestPolicyNamesTheDecidingFiles(t *testing.T) {
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
	vocabulary := map[string]bool{"doc.go": true, "settings.go": true, "events.go": true, "actions.go": true}
	deciding := 0
	for _, f := range files {
		name := f.Name()
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			continue
		}
		if decides := !vocabulary[name]; decides != named[name] {
			t.Errorf("%s decides %t, and is named under policy %t", name, decides, named[name])
		}
		if !named[name] {
			continue
		}
		deciding++
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for i, l := range strings.Split(string(text), "\n") {
			if len(l) > 110 {
				t.Errorf("%s, line %d has %d characters, 110 are allowed", name, i+1, len(l))
			}
		}
	}
	if deciding != len(named) {
		t.Errorf("%d deciding files are there, %d are named", deciding, len(named))
	}
}
