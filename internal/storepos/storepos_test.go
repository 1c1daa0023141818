package storepos

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/spanlanding/spanlanding/internal/testseed"
)

func TestLaterEraComesFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) Position {
			return At(rapid.Int64Range(0, 3).Draw(t, name+" era"), rapid.Int64Range(0, 3).Draw(t, name))
		}
		a, b := draw("a"), draw("b")
		want := a.Era < b.Era || a.Era == b.Era && a.Revision < b.Revision
		if a.IsBefore(b) != want || b.IsAfter(a) != want || (a.Compare(b) == 0) != (a == b) || Later(a, b).IsBefore(a) || Later(a, b).IsBefore(b) {
			t.Fatalf("%v and %v", a, b)
		}
	})
}

// Revisions of different eras are not comparable, so no code outside this package may order
// revisions other than by a Position.
func TestRevisionsAreComparedByPositionAlone(t *testing.T) {
	checked := 0
	err := filepath.WalkDir("../..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, ".pb.go") || strings.Contains(path, "internal/storepos/") {
			return err
		}
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, path, nil, 0)
		if err != nil {
			return err
		}
		checked++
		ast.Inspect(file, func(node ast.Node) bool {
			if hasBareRevisionComparison(node) {
				t.Errorf("%s: revisions or eras are compared without a Position", files.Position(node.Pos()))
			}
			return true
		})
		return nil
	})
	if err != nil || checked < 100 {
		t.Errorf("checked %d files, error %v", checked, err)
	}
}

func TestBareComparisonIsFound(t *testing.T) {
	for text, want := range map[string]bool{
		"a.Revision < b.Revision": true, "known >= s.Revision": true, "max(heard, s.Revision)": true,
		"s.Revision < 0": false, "a.Revision == b.Revision": false, "a.IsBefore(b)": false,
	} {
		expression, err := parser.ParseExpr(text)
		if err != nil || hasBareRevisionComparison(expression) != want {
			t.Errorf("%s: found %v, %v", text, !want, err)
		}
	}
}

func hasBareRevisionComparison(node ast.Node) bool {
	switch node := node.(type) {
	case *ast.BinaryExpr:
		switch node.Op {
		case token.LSS, token.GTR, token.LEQ, token.GEQ:
			return isRevision(node.X) && !isLiteral(node.Y) || isRevision(node.Y) && !isLiteral(node.X)
		}
	case *ast.CallExpr:
		if name, ok := node.Fun.(*ast.Ident); ok && (name.Name == "max" || name.Name == "min") {
			for _, argument := range node.Args {
				if isRevision(argument) {
					return true
				}
			}
		}
	}
	return false
}

func isRevision(expression ast.Expr) bool {
	selector, ok := expression.(*ast.SelectorExpr)
	return ok && selector.Sel.Name == "Revision"
}

func isLiteral(expression ast.Expr) bool {
	_, ok := expression.(*ast.BasicLit)
	return ok
}
