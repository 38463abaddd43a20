// Package docs_test checks that the pages name what is there.
package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// codeSpan is a piece of a page that is set as code.
var codeSpan = regexp.MustCompile("`([^`]+)`")

// goName is a name of the code: Name, or Type.Member.
var goName = regexp.MustCompile(`^[A-Za-z]\w*(\.[A-Za-z]\w*)?$`)

// Each file and each name of the code on the architecture page exists.
func TestArchitecturePageNamesTheCode(t *testing.T) {
	page, err := os.ReadFile("ARCHITECTURE.md")
	if err != nil {
		t.Fatal(err)
	}
	declared := declaredNames(t, "..")
	names := 0
	for _, span := range codeSpan.FindAllStringSubmatch(string(page), -1) {
		switch text := span[1]; {
		case strings.Contains(text, "/"):
			if _, err := os.Stat(filepath.Join("..", text)); err != nil {
				t.Errorf("no file %s", text)
			}
		case strings.HasSuffix(text, ".txt"), strings.HasPrefix(text, "Type."):
		case goName.MatchString(text):
			names++
			if !declared[text] {
				t.Errorf("nothing is called %s", text)
			}
		}
	}
	if names < 50 {
		t.Errorf("the page names %d declarations; the check doesn't find them", names)
	}
}

// declaredNames returns the packages, declarations, fields and methods of the module in the directory root. Members
// stand behind their type, and types behind their package as well.
func declaredNames(t *testing.T, root string) map[string]bool {
	t.Helper()
	// Words of settings, of the deploy file and of the language of the page.
	declared := map[string]bool{"run": true, "sim": true, "node": true, "function": true}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		declared[file.Name.Name] = true
		for _, declaration := range file.Decls {
			addDeclaration(declared, file.Name.Name, declaration)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return declared
}

// addDeclaration adds the names of a top-level declaration of a package.
func addDeclaration(declared map[string]bool, pkg string, declaration ast.Decl) {
	switch declaration := declaration.(type) {
	case *ast.FuncDecl:
		name := declaration.Name.Name
		if declaration.Recv != nil {
			name = receiverType(declaration.Recv.List[0].Type) + "." + name
		}
		declared[name] = true
	case *ast.GenDecl:
		for _, spec := range declaration.Specs {
			addSpec(declared, pkg, spec)
		}
	}
}

// addSpec adds the names of a type, constant or variable.
func addSpec(declared map[string]bool, pkg string, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			declared[name.Name] = true
		}
	case *ast.TypeSpec:
		declared[spec.Name.Name] = true
		declared[pkg+"."+spec.Name.Name] = true
		if structure, ok := spec.Type.(*ast.StructType); ok {
			for _, field := range structure.Fields.List {
				for _, name := range field.Names {
					declared[spec.Name.Name+"."+name.Name] = true
				}
			}
		}
	}
}

// receiverType returns the name of a method's receiver type.
func receiverType(expression ast.Expr) string {
	if pointer, ok := expression.(*ast.StarExpr); ok {
		expression = pointer.X
	}
	if name, ok := expression.(*ast.Ident); ok {
		return name.Name
	}
	return ""
}
