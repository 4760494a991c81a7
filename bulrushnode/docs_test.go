package bulrushnode

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// logMessageArgument is the index of the message among the arguments of klog's
// structured calls.
var logMessageArgument = map[string]int{"InfoS": 0, "ErrorS": 1}

// Guards against a reason that callers can receive but that the documentation
// does not list.
func TestCallersPageNamesEveryReason(t *testing.T) {
	reasons := reasonConstants(t, "../request.go")
	assert.Assert(t, len(reasons) > 0, "no Reason constant found in request.go")
	page := readPage(t, "../docs/callers.md")
	for _, reason := range reasons {
		if !strings.Contains(page, "`"+reason+"`") {
			t.Errorf("docs/callers.md does not name the reason `%s`", reason)
		}
	}
}

// Guards against a log message that operators can see but that the
// documentation does not list.
func TestObservabilityPageNamesEveryLogMessage(t *testing.T) {
	messages := logMessages(t, ".")
	assert.Assert(t, len(messages) > 0, "no log message found in bulrushnode")
	page := readPage(t, "../docs/observability.md")
	for _, message := range messages {
		if !strings.Contains(page, "`"+message+"`") {
			t.Errorf("docs/observability.md does not name the log message `%s`", message)
		}
	}
}

func readPage(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	return string(data)
}

// reasonConstants returns the values of the constants of type Reason in a file.
func reasonConstants(t *testing.T, path string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	assert.NilError(t, err)
	var reasons []string
	ast.Inspect(file, func(node ast.Node) bool {
		spec, isValue := node.(*ast.ValueSpec)
		if !isValue {
			return true
		}
		if kind, named := spec.Type.(*ast.Ident); named && kind.Name == "Reason" {
			for _, value := range spec.Values {
				reasons = append(reasons, stringLiteral(t, value))
			}
		}
		return true
	})
	return reasons
}

// logMessages returns the messages of all structured log calls in a package's
// non-test files.
func logMessages(t *testing.T, directory string) []string {
	t.Helper()
	paths, err := fs.Glob(os.DirFS(directory), "*.go")
	assert.NilError(t, err)
	var messages []string
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		assert.NilError(t, err)
		ast.Inspect(file, func(node ast.Node) bool {
			if call, isCall := node.(*ast.CallExpr); isCall {
				messages = append(messages, logMessage(t, path, call)...)
			}
			return true
		})
	}
	return messages
}

// logMessage returns the message of one log call or event logger. It reports
// unstructured klog calls as errors, since their messages cannot be listed.
func logMessage(t *testing.T, path string, call *ast.CallExpr) []string {
	t.Helper()
	selector, isSelector := call.Fun.(*ast.SelectorExpr)
	if isSelector && selector.Sel.Name == "NewEventLogger" {
		return []string{stringLiteral(t, call.Args[0])}
	}
	if !isSelector || !isKlog(selector.X) || selector.Sel.Name == "V" {
		return nil
	}
	position, structured := logMessageArgument[selector.Sel.Name]
	if !structured || len(call.Args) <= position {
		t.Errorf("%s: klog.%s is not a structured log call", path, selector.Sel.Name)
		return nil
	}
	return []string{stringLiteral(t, call.Args[position])}
}

// isKlog reports whether an expression is klog or klog.V(n).
func isKlog(expression ast.Expr) bool {
	if call, isCall := expression.(*ast.CallExpr); isCall {
		selector, isSelector := call.Fun.(*ast.SelectorExpr)
		return isSelector && isKlog(selector.X)
	}
	name, isName := expression.(*ast.Ident)
	return isName && name.Name == "klog"
}

func stringLiteral(t *testing.T, expression ast.Expr) string {
	t.Helper()
	basic, isBasic := expression.(*ast.BasicLit)
	assert.Assert(t, isBasic && basic.Kind == token.STRING, "want a string literal, got %T", expression)
	text, err := strconv.Unquote(basic.Value)
	assert.NilError(t, err)
	return text
}
