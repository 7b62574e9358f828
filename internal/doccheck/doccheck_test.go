// Package doccheck holds a test that all packages and exported items of the repository have doc
// comments. staticcheck checks the form of doc comments, but does not report exported items
// without one.
package doccheck

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"slices"
	"strings"
	"testing"
)

// repositoryRoot is the root of the repository, relative to the directory of this package.
const repositoryRoot = "../.."

// Guards that every package and every exported item has a doc comment. Test files are exempt.
func TestExportedItemsHaveDocComments(t *testing.T) {
	packages := parseRepository(t)
	if len(packages) == 0 {
		t.Fatalf("found no Go package below %s", repositoryRoot)
	}
	for directory, files := range packages {
		if !hasPackageComment(files) {
			t.Errorf("%s: package %s has no package comment", directory, files[0].syntax.Name.Name)
		}
		for _, file := range files {
			for _, item := range undocumentedItems(file) {
				t.Error(item)
			}
		}
	}
}

// checkedSource declares items of each kind, with and without a doc comment.
const checkedSource = `package p

func Function() {}

// Documented has a comment.
func Documented() {}

type Type struct{ Field int }

func (*Type) Method() {}

func (Generic[T]) Method() {}

// Generic has a comment.
type Generic[T any] struct{}

type hidden struct{}

func (hidden) Method() {}

const Constant, private = 1, 2

const (
	Trailing = 1 // has a comment
	Bare     = 2
)

// Grouped variables share a comment.
var (
	First  = 1
	Second = 2
)
`

// Guards the check itself: it reports each kind of item without a doc comment, and no others.
func TestUndocumentedItemsAreReported(t *testing.T) {
	fileSet := token.NewFileSet()
	syntax, err := parser.ParseFile(fileSet, "p.go", checkedSource, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	file := sourceFile{fileSet: fileSet, syntax: syntax}
	got := undocumentedItems(file)
	want := []string{
		"p.go:3: exported Function has no doc comment",
		"p.go:8: exported Type has no doc comment",
		"p.go:10: exported Type.Method has no doc comment",
		"p.go:12: exported Generic.Method has no doc comment",
		"p.go:21: exported Constant has no doc comment",
		"p.go:25: exported Bare has no doc comment",
	}
	if !slices.Equal(got, want) {
		t.Errorf("items without a doc comment:\n%s\nwant:\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	if hasPackageComment([]sourceFile{file}) {
		t.Error("hasPackageComment reports a package comment, want none")
	}
}

// sourceFile is one parsed Go file.
type sourceFile struct {
	fileSet *token.FileSet
	syntax  *ast.File
}

// parseRepository returns the Go files of the repository by directory, except test files.
func parseRepository(t *testing.T) map[string][]sourceFile {
	t.Helper()
	root := os.DirFS(repositoryRoot)
	fileSet := token.NewFileSet()
	packages := map[string][]sourceFile{}
	err := fs.WalkDir(root, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if name != "." && isIgnoredDirectory(entry.Name()) {
				return fs.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		text, err := fs.ReadFile(root, name)
		if err != nil {
			return err
		}
		syntax, err := parser.ParseFile(fileSet, name, text, parser.ParseComments)
		if err != nil {
			return err
		}
		directory := path.Dir(name)
		packages[directory] = append(packages[directory], sourceFile{fileSet: fileSet, syntax: syntax})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return packages
}

// isIgnoredDirectory reports whether "./..." of the go command excludes a directory of this name.
func isIgnoredDirectory(name string) bool {
	return name == "testdata" || name == "vendor" || strings.HasPrefix(name, ".") || strings.HasPrefix(name, "_")
}

func hasPackageComment(files []sourceFile) bool {
	return slices.ContainsFunc(files, func(file sourceFile) bool { return file.syntax.Doc != nil })
}

// undocumentedItems returns a message for each exported item of a file without a doc comment, in
// source order.
func undocumentedItems(file sourceFile) []string {
	var items []string
	report := func(position token.Pos, name string) {
		place := file.fileSet.Position(position)
		items = append(items, fmt.Sprintf("%s:%d: exported %s has no doc comment", place.Filename, place.Line, name))
	}
	for _, declaration := range file.syntax.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			if name, exported := functionName(declaration); exported && declaration.Doc == nil {
				report(declaration.Pos(), name)
			}
		case *ast.GenDecl:
			if declaration.Doc != nil && len(declaration.Specs) > 0 && !isTypeGroup(declaration) {
				continue
			}
			for _, spec := range declaration.Specs {
				for _, name := range undocumentedNames(declaration, spec) {
					report(name.Pos(), name.Name)
				}
			}
		}
	}
	return items
}

// functionName returns the name of a function, or "Type.Method" for a method, and whether it is
// exported. A method is exported only if its type is.
func functionName(function *ast.FuncDecl) (name string, exported bool) {
	if function.Recv == nil {
		return function.Name.Name, function.Name.IsExported()
	}
	receiver := receiverName(function.Recv.List[0].Type)
	return receiver + "." + function.Name.Name, ast.IsExported(receiver) && function.Name.IsExported()
}

// receiverName returns the name of a receiver's type without pointer and type parameters.
func receiverName(receiver ast.Expr) string {
	switch receiver := receiver.(type) {
	case *ast.StarExpr:
		return receiverName(receiver.X)
	case *ast.IndexExpr:
		return receiverName(receiver.X)
	case *ast.IndexListExpr:
		return receiverName(receiver.X)
	case *ast.Ident:
		return receiver.Name
	default:
		return ""
	}
}

// isTypeGroup reports whether a declaration is a group of types in parentheses. Each of them needs
// its own comment, while the constants or variables of a group may share the group's comment.
func isTypeGroup(declaration *ast.GenDecl) bool {
	return declaration.Tok == token.TYPE && declaration.Lparen.IsValid()
}

// undocumentedNames returns the exported names that a specification declares, if it has a comment
// neither above it nor at the end of its line.
func undocumentedNames(declaration *ast.GenDecl, spec ast.Spec) []*ast.Ident {
	var names []*ast.Ident
	switch spec := spec.(type) {
	case *ast.TypeSpec:
		if spec.Doc == nil && spec.Comment == nil && (isTypeGroup(declaration) || declaration.Doc == nil) {
			names = []*ast.Ident{spec.Name}
		}
	case *ast.ValueSpec:
		if spec.Doc == nil && spec.Comment == nil {
			names = spec.Names
		}
	}
	return slices.DeleteFunc(slices.Clone(names), func(name *ast.Ident) bool { return !name.IsExported() })
}
