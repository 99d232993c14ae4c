// Package history checks what became of writes: every key is applied exactly once or its client was refused, never both,
// and none is served without effect. The checker of histories is porcupine (A. Athalye), by the method of Wing and Gong,
// "Testing and Verifying Concurrent Objects", 1993, with the model of one key below.
package history

import (
	"fmt"
	"sort"
	"time"

	"github.com/anishathalye/porcupine"
)

// Write is one try of a client to write a key.
type Write struct {
	Key          string
	Group        int
	Call, Return time.Duration
	End          End
}

// End is how a try ended for its client.
type End uint8

// The ends of a try.
const (
	Unanswered End = iota
	Served
	Refused
	Failed
)

// String names an end.
func (e End) String() string { return [...]string{"unanswered", "served", "refused", "failed"}[e] }

// read is the look at how often a key was applied, after all is over.
type read struct{ times int }

// model is what a group that keeps its promises does with one key. The state is how often the key was applied. A try that
// was served has taken effect, or an earlier one had; one that was refused has none; of one that failed, or had no answer,
// nobody knows. Nothing is ever applied a second time.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{0} },
	Step: func(state, input, output any) []any {
		n := state.(int)
		if r, ok := input.(read); ok {
			if r.times == n {
				return []any{n}
			}
			return nil
		}
		switch output.(End) {
		case Served:
			return []any{1}
		case Refused:
			return []any{n}
		}
		return []any{n, 1}
	},
	Equal: func(a, b any) bool { return a == b },
}

// Violation is a key whose history no group that keeps its promises can have.
type Violation struct {
	Group   int
	Key     string
	Applied int
	Tries   []Write
}

// String formats the violation as one line: its key, how often the key was applied, and the outcome and interval of each try,
// in seconds.
func (v Violation) String() string {
	s := fmt.Sprintf("group %d, key %s: applied %d times;", v.Group, v.Key, v.Applied)
	for _, w := range v.Tries {
		s += fmt.Sprintf(" %s %.3f to %.3f;", w.End, w.Call.Seconds(), w.Return.Seconds())
	}
	return s
}

// Check holds the writes against how often their keys were applied, and gives the violations in the order of their first
// calls. What failed or had no answer may take effect at any time after it.
func Check(writes []Write, applied func(group int, key string) int) (out []Violation) {
	type id struct {
		group int
		key   string
	}
	end := time.Duration(0)
	by := map[id][]Write{}
	for _, w := range writes {
		k := id{w.Group, w.Key}
		by[k] = append(by[k], w)
		end = max(end, w.Return)
	}
	checker := model.ToModel()
	for k, list := range by {
		n := applied(k.group, k.key)
		var ops []porcupine.Operation
		for i, w := range list {
			ret := w.Return
			if w.End == Failed || w.End == Unanswered {
				ret = end + 1
			}
			ops = append(ops, porcupine.Operation{ClientId: i, Input: w, Output: w.End, Call: int64(w.Call), Return: int64(ret)})
		}
		ops = append(ops, porcupine.Operation{ClientId: len(list), Input: read{n}, Call: int64(end + 2), Return: int64(end + 3)})
		if !porcupine.CheckOperations(checker, ops) {
			out = append(out, Violation{k.group, k.key, n, list})
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Tries[0].Call != out[j].Tries[0].Call {
			return out[i].Tries[0].Call < out[j].Tries[0].Call
		}
		return out[i].Key < out[j].Key
	})
	return out
}
