// Package doccheck holds a test that the repository's packages and exported items have doc
// comments. staticcheck checks the form of such comments, but not that exported items have one.
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

// repositoryRoot is the root of the repository as seen from this package's directory.
const repositoryRoot = "../.."

// Guards that a newcomer finds a doc comment on every package and every exported item. Test
// files are exempt.
func TestExportedItemsHaveDocComments(t *testing.T) {
	packages := parseRepository(t)
	if len(packages) == 0 {
		t.Fatal("no Go package was found")
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

// checkedSource has items of each kind, with a comment and without.
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

// Guards the check itself: it names each kind of item that lacks a comment, and no other.
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
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	if hasPackageComment([]sourceFile{file}) {
		t.Error("a package comment was found where there is none")
	}
}

// sourceFile is one parsed Go file.
type sourceFile struct {
	fileSet *token.FileSet
	syntax  *ast.File
}

// parseRepository returns the repository's Go files by directory, without the test files.
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

// isIgnoredDirectory reports whether the go command, too, leaves a directory out of "./...".
func isIgnoredDirectory(name string) bool {
	return name == "testdata" || name == "vendor" || strings.HasPrefix(name, ".") || strings.HasPrefix(name, "_")
}

func hasPackageComment(files []sourceFile) bool {
	return slices.ContainsFunc(files, func(file sourceFile) bool { return file.syntax.Doc != nil })
}

// undocumentedItems names the exported items of a file that have no comment, in their order.
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

// functionName returns a function's name, with its type's if it is a method, and whether it is
// exported. A method is exported only if its type is.
func functionName(function *ast.FuncDecl) (name string, exported bool) {
	if function.Recv == nil {
		return function.Name.Name, function.Name.IsExported()
	}
	receiver := receiverName(function.Recv.List[0].Type)
	return receiver + "." + function.Name.Name, ast.IsExported(receiver) && function.Name.IsExported()
}

// receiverName returns the name of a receiver's type, without its pointer and type parameters.
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

// isTypeGroup reports whether a declaration declares types in parentheses: each of these needs
// a comment of its own, whereas constants and variables may share the group's.
func isTypeGroup(declaration *ast.GenDecl) bool {
	return declaration.Tok == token.TYPE && declaration.Lparen.IsValid()
}

// undocumentedNames returns the exported names of one specification that has no comment, neither
// above it nor at the end of its line.
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
