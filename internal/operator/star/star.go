// Package star evaluates Starlark configuration files that consist of function calls, such as
// level("busy", dwell = "5s"), and reads the calls' arguments into typed values. It reports all errors of a file at
// once, each with file:line:column, and suggests the nearest known name for an unknown one. The cost of a file is
// bounded by its size and by the number of execution steps; load statements are not available. The functions
// themselves are defined by the packages that use this one.
package star

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.starlark.net/resolve"
	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// MaxSteps is the largest number of Starlark steps that the execution of a file may take; a large file takes some thousand.
const MaxSteps = 1_000_000

// MaxSize is the largest size of a file, in bytes.
const MaxSize = 1 << 20

// Errors holds all errors of a file, ordered by position.
type Errors []Error

// Error is one error of a file, with its position.
type Error struct {
	Pos  syntax.Position
	Text string
}

// Error formats the error as its position in the file and its text.
func (e Error) Error() string { return fmt.Sprintf("%s: %s", e.Pos, e.Text) }

// Error joins the errors, one on each line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, x := range e {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}

// Func implements a function that files can call. Its result is the value of the call in the file; nil stands for None.
type Func func(*Call) starlark.Value

// file is the state of the evaluation of one file.
type file struct {
	calls  map[position]*syntax.CallExpr
	errors Errors
}

// position identifies a call by its opening parenthesis.
type position struct{ line, col int32 }

// options are the Starlark dialect of the files: sets and top-level control flow are allowed, reassigning globals is not.
var options = &syntax.FileOptions{Set: true, TopLevelControl: true, GlobalReassign: false}

// Exec evaluates the file src, which may call the given functions by their names; name is the file's name in errors.
// If finish isn't nil, it runs after a file that was evaluated to its end, for checks that span several calls. An error
// that Exec returns is of type Errors.
func Exec(name string, src []byte, functions map[string]Func, finish func()) error {
	if len(src) > MaxSize {
		return Errors{{syntax.MakePosition(&name, 1, 1), fmt.Sprintf("%d bytes, %d at most", len(src), MaxSize)}}
	}
	f := &file{calls: map[position]*syntax.CallExpr{}}
	tree, err := options.Parse(name, src, 0)
	if err != nil {
		return f.fail(name, err)
	}
	syntax.Walk(tree, func(n syntax.Node) bool {
		if c, ok := n.(*syntax.CallExpr); ok {
			f.calls[position{c.Lparen.Line, c.Lparen.Col}] = c
		}
		return true
	})
	builtins := starlark.StringDict{}
	for function, implementation := range functions {
		builtins[function] = starlark.NewBuiltin(function, func(t *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
			c := f.call(t, function, args, kwargs)
			result := implementation(c)
			c.reportUnread()
			if result == nil {
				result = starlark.None
			}
			return result, nil
		})
	}
	thread := &starlark.Thread{Name: name, Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(MaxSteps)
	program, err := starlark.FileProgram(tree, builtins.Has)
	if err == nil {
		_, err = program.Init(thread, builtins)
	}
	if err != nil {
		return f.fail(name, err)
	}
	if finish != nil {
		finish()
	}
	if len(f.errors) > 0 {
		slices.SortStableFunc(f.errors, func(a, b Error) int {
			return cmp.Or(cmp.Compare(a.Pos.Line, b.Pos.Line), cmp.Compare(a.Pos.Col, b.Pos.Col))
		})
		return f.errors
	}
	return nil
}

// fail appends the error that ended the evaluation to those found before, and returns all.
func (f *file) fail(name string, err error) Errors {
	var syn syntax.Error
	var res resolve.ErrorList
	var eval *starlark.EvalError
	switch {
	case errors.As(err, &syn):
		f.errors = append(f.errors, Error{syn.Pos, syn.Msg})
	case errors.As(err, &res):
		for _, e := range res {
			f.errors = append(f.errors, Error{e.Pos, e.Msg})
		}
	case errors.As(err, &eval):
		pos := syntax.MakePosition(&name, 1, 1)
		for _, fr := range eval.CallStack { // the innermost frame in the file
			if fr.Pos.Filename() == name {
				pos = fr.Pos
			}
		}
		f.errors = append(f.errors, Error{pos, eval.Msg})
	default:
		f.errors = append(f.errors, Error{syntax.MakePosition(&name, 1, 1), err.Error()})
	}
	return f.errors
}

// Call is one call of a function in a file. Its methods return arguments by name, or a default if an argument is absent or invalid. They
// record errors instead of returning them, so that one evaluation finds all errors of a file.
type Call struct {
	Function       string
	Pos            syntax.Position
	file           *file
	expr           *syntax.CallExpr
	positional     starlark.Tuple
	args           map[string]starlark.Value
	keys           []string // in the order of the file
	read           map[string]bool
	nextPositional int // index of the next positional argument to read
}

// call returns the Call for an invocation of the given function.
func (f *file) call(t *starlark.Thread, function string, args starlark.Tuple, kwargs []starlark.Tuple) *Call {
	c := &Call{Function: function, Pos: t.CallFrame(1).Pos, file: f, positional: args, args: map[string]starlark.Value{}, read: map[string]bool{}}
	c.expr = f.calls[position{c.Pos.Line, c.Pos.Col}]
	for _, kv := range kwargs {
		k := string(kv[0].(starlark.String))
		c.args[k] = kv[1]
		c.keys = append(c.keys, k)
	}
	return c
}

// Errorf records an error at the position of the argument arg, or of the call where arg is empty or not given by name.
func (c *Call) Errorf(arg, format string, a ...any) {
	pos := c.Pos
	if c.expr != nil {
		pos, _ = c.expr.Span()
		for _, x := range c.expr.Args {
			if b, ok := x.(*syntax.BinaryExpr); ok && b.Op == syntax.EQ {
				if id, ok := b.X.(*syntax.Ident); ok && id.Name == arg {
					pos = id.NamePos
				}
			}
		}
	}
	c.file.errors = append(c.file.errors, Error{pos, fmt.Sprintf(format, a...)})
}

// PositionalString returns the next positional argument as a string, or the argument of that name. A missing or empty one is an error.
func (c *Call) PositionalString(name string) string {
	if c.nextPositional < len(c.positional) {
		v := c.positional[c.nextPositional]
		c.nextPositional++
		c.read[name] = true
		if s, ok := starlark.AsString(v); ok && s != "" {
			return s
		}
		c.Errorf("", "%s: %s is %s, a name was expected", c.Function, name, v.Type())
		return ""
	}
	s := c.String(name, "")
	if s == "" {
		c.Errorf(name, "%s: %s is missing, a name was expected", c.Function, name)
	}
	return s
}

// RewindPositional makes PositionalString start again at the first positional argument.
func (c *Call) RewindPositional() { c.nextPositional = 0 }

// Has reports whether the call has an argument of that name.
func (c *Call) Has(name string) bool { _, ok := c.args[name]; return ok }

// Value returns an argument unconverted, or nil if it is absent.
func (c *Call) Value(name string) starlark.Value {
	c.read[name] = true
	return c.args[name]
}

// String returns a string argument.
func (c *Call) String(name, defaultValue string) string {
	v := c.Value(name)
	if v == nil {
		return defaultValue
	}
	s, ok := starlark.AsString(v)
	if !ok {
		c.Errorf(name, "%s is %s, a string was expected", name, v.Type())
		return defaultValue
	}
	return s
}

// Choice returns a string argument that must be one of choices.
func (c *Call) Choice(name, defaultValue string, choices ...string) string {
	s := c.String(name, defaultValue)
	if !c.CheckOneOf(name, s, choices) {
		return defaultValue
	}
	return s
}

// CheckOneOf reports whether value is one of choices, and records an error at the argument name if it isn't.
func (c *Call) CheckOneOf(name, value string, choices []string) bool {
	if slices.Contains(choices, value) {
		return true
	}
	c.Errorf(name, "%s is %q, one of %s was expected%s", name, value, strings.Join(choices, ", "), Suggestion(value, choices))
	return false
}

// Bool returns an argument that is True or False.
func (c *Call) Bool(name string, defaultValue bool) bool {
	v := c.Value(name)
	if v == nil {
		return defaultValue
	}
	b, ok := v.(starlark.Bool)
	if !ok {
		c.Errorf(name, "%s is %s, True or False was expected", name, v.Type())
		return defaultValue
	}
	return bool(b)
}

// Int returns an integer argument in the range from minimum to maximum.
func (c *Call) Int(name string, defaultValue, minimum, maximum int) int {
	v := c.Value(name)
	if v == nil {
		return defaultValue
	}
	n, err := starlark.AsInt32(v)
	if err != nil || n < minimum || n > maximum {
		c.Errorf(name, "%s is %s, a whole number from %d to %d was expected", name, v, minimum, maximum)
		return defaultValue
	}
	return n
}

// Float returns a number argument in the range from minimum to maximum.
func (c *Call) Float(name string, defaultValue, minimum, maximum float64) float64 {
	v := c.Value(name)
	if v == nil {
		return defaultValue
	}
	n, ok := c.ToFloat(name, v, minimum, maximum)
	if !ok {
		return defaultValue
	}
	return n
}

// ToFloat converts v, a part of the argument name, to a number in the range from minimum to maximum, and reports whether it is one.
func (c *Call) ToFloat(name string, v starlark.Value, minimum, maximum float64) (float64, bool) {
	n, ok := starlark.AsFloat(v)
	if _, isBool := v.(starlark.Bool); isBool || !ok || !(n >= minimum && n <= maximum) {
		c.Errorf(name, "%s is %s, a number from %s to %s was expected", name, v, formatBound(minimum), formatBound(maximum))
		return 0, false
	}
	return n, true
}

// formatBound formats a limit of a range for an error message.
func formatBound(x float64) string {
	if math.IsInf(x, 0) {
		return "any"
	}
	return strconv.FormatFloat(x, 'g', -1, 64)
}

// Duration returns a duration in the range from minimum to maximum. The argument is a string with a unit under the name itself,
// or a number under the name with the suffix _ms or _s.
func (c *Call) Duration(name string, defaultValue, minimum, maximum time.Duration) time.Duration {
	found, at := defaultValue, ""
	for _, form := range []struct {
		suffix string
		unit   time.Duration
	}{{"", 0}, {"_ms", time.Millisecond}, {"_s", time.Second}} {
		key := name + form.suffix
		v := c.Value(key)
		if v == nil {
			continue
		}
		if at != "" {
			c.Errorf(key, "%s and %s are the same setting", at, key)
			return defaultValue
		}
		at = key
		if form.unit == 0 {
			d, ok := c.ToDuration(key, v)
			if !ok {
				return defaultValue
			}
			found = d
		} else {
			n, ok := c.ToFloat(key, v, 0, 1e9)
			if !ok {
				return defaultValue
			}
			found = time.Duration(n * float64(form.unit))
		}
	}
	if at != "" && (found < minimum || found > maximum) {
		c.Errorf(at, "%s is %v, %v to %v was expected", at, found, minimum, maximum)
		return defaultValue
	}
	return found
}

// ToDuration converts v, a part of the argument name, to a duration, and reports whether it is one, such as "300ms".
func (c *Call) ToDuration(name string, v starlark.Value) (time.Duration, bool) {
	s, ok := starlark.AsString(v)
	d, err := time.ParseDuration(s)
	if !ok || err != nil {
		c.Errorf(name, "%s is %s, a duration with a unit was expected, such as \"300ms\" or \"5s\"", name, v)
		return 0, false
	}
	return d, true
}

// Dict calls each for the entries of a dictionary with string keys, in the dictionary's order.
func (c *Call) Dict(name string, each func(key string, v starlark.Value)) {
	v := c.Value(name)
	if v == nil {
		return
	}
	d, ok := v.(*starlark.Dict)
	if !ok {
		c.Errorf(name, "%s is %s, a table {name: value} was expected", name, v.Type())
		return
	}
	for _, kv := range d.Items() {
		key, ok := starlark.AsString(kv[0])
		if !ok {
			c.Errorf(name, "%s has the key %s, a string was expected", name, kv[0])
			continue
		}
		each(key, kv[1])
	}
}

// List calls each for the elements of a list, in order.
func (c *Call) List(name string, each func(v starlark.Value)) {
	v := c.Value(name)
	if v == nil {
		return
	}
	list, ok := v.(*starlark.List)
	if !ok {
		c.Errorf(name, "%s is %s, a list was expected", name, v.Type())
		return
	}
	for i := range list.Len() {
		each(list.Index(i))
	}
}

// reportUnread records an error for each argument that no method has read.
func (c *Call) reportUnread() {
	if c.nextPositional < len(c.positional) {
		c.Errorf("", "%s takes %d positional arguments, %d are given", c.Function, c.nextPositional, len(c.positional))
	}
	var settings []string
	for name := range c.read {
		settings = append(settings, name)
	}
	slices.Sort(settings)
	for _, key := range c.keys {
		if !c.read[key] {
			c.Errorf(key, "%s has no setting %q%s", c.Function, key, Suggestion(key, settings))
		}
	}
}

// Suggestion returns the suffix " (did you mean ...?)" with the known name nearest to word, or "" if none is near.
func Suggestion(word string, known []string) string {
	best, at := len(word)/2+1, ""
	for _, k := range known {
		if d := distance(word, k); d < best {
			best, at = d, k
		}
	}
	if at == "" {
		return ""
	}
	return fmt.Sprintf(" (did you mean %q?)", at)
}

// distance returns the Levenshtein distance of two strings, in bytes.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, diagonal+1)
		}
	}
	return row[len(b)]
}
