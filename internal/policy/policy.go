// Package policy is what a whole tier of proxies is to do alike: the classes with their effects, limits and attempts, levels of reduced
// service, what is held through a change of primary, and routing. A policy is one typed value with one canonical form (RFC 8949, 4.2.1: core
// deterministic encoding of CBOR) and a hash. The package says what may change while a proxy runs, and how two policies differ. It is pure:
// who puts a policy into effect is package run, by the ways that a reload takes.
package policy

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"havenproxy/internal/handover"
	"havenproxy/internal/levels"
	"havenproxy/logic"
)

// Policy is a tier's. Its classes are in their order in the configuration.
type Policy struct {
	Classes     []logic.Class
	MaxAttempts int
	MayComeBack bool          // clients are told when to come back
	MaxComeBack time.Duration // the longest hint

	Levels   *levels.Config // of reduced service; nil = off
	Handover handover.Config
	Tuning   logic.Tuning
}

// MaxBytes bounds a policy's encoded form.
const MaxBytes = 128 << 10

var (
	encoder, _ = cbor.CoreDetEncOptions().EncMode()
	decoder, _ = cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 16, MaxNestedLevels: 16}.DecMode()
)

// Encode gives the canonical form: equal policies have equal bytes.
func (p *Policy) Encode() ([]byte, error) {
	text, err := encoder.Marshal(p)
	if err == nil && len(text) > MaxBytes {
		err = fmt.Errorf("policy: %d bytes, %d at most were expected", len(text), MaxBytes)
	}
	return text, err
}

// Decode reads a policy. A field that it doesn't know is an error: a policy that is understood in part must not be served under.
func Decode(text []byte) (*Policy, error) {
	if len(text) > MaxBytes {
		return nil, fmt.Errorf("policy: %d bytes, %d at most were expected", len(text), MaxBytes)
	}
	p := &Policy{}
	if err := decoder.Unmarshal(text, p); err != nil {
		return nil, fmt.Errorf("policy: not readable by this version: %w", err)
	}
	again, err := p.Encode()
	if err == nil && !bytes.Equal(again, text) {
		err = fmt.Errorf("policy: not in its canonical form")
	}
	return p, err
}

// Hash names a policy's text: 16 hexadecimal digits of its SHA-256.
func Hash(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:8])
}

// Diff tells line by line how two policies differ, "-" what was and "+" what comes; nil stands for none.
func Diff(from, to *Policy) (lines []string) {
	a, b := from.Lines(), to.Lines()
	for _, l := range a {
		if !slices.Contains(b, l) {
			lines = append(lines, "- "+l)
		}
	}
	for _, l := range b {
		if !slices.Contains(a, l) {
			lines = append(lines, "+ "+l)
		}
	}
	key := func(l string) string { return strings.SplitN(l[2:], " = ", 2)[0] }
	slices.SortStableFunc(lines, func(x, y string) int { return strings.Compare(key(x), key(y)) })
	return lines
}

// Lines writes each setting that isn't at its zero as "path = value".
func (p *Policy) Lines() (out []string) {
	if p == nil {
		return nil
	}
	var walk func(path string, v reflect.Value)
	walk = func(path string, v reflect.Value) {
		if v.IsZero() {
			return
		}
		if s, ok := v.Interface().(fmt.Stringer); ok {
			out = append(out, path+" = "+s.String())
			return
		}
		switch v.Kind() {
		case reflect.Pointer:
			walk(path, v.Elem())
		case reflect.Struct:
			for i := range v.NumField() {
				walk(path+"."+v.Type().Field(i).Name, v.Field(i))
			}
		case reflect.Slice:
			for i := range v.Len() {
				e, name := v.Index(i), fmt.Sprint(i)
				if e.Kind() == reflect.Struct {
					if f := e.FieldByName("Name"); f.IsValid() {
						name = f.String()
					}
				}
				walk(path+"["+name+"]", e)
			}
		case reflect.Map:
			for _, k := range v.MapKeys() {
				walk(fmt.Sprintf("%s[%v]", path, k), v.MapIndex(k))
			}
		default:
			out = append(out, fmt.Sprintf("%s = %v", path, v))
		}
	}
	walk("", reflect.ValueOf(*p))
	for i := range out {
		out[i] = strings.TrimPrefix(out[i], ".")
	}
	slices.Sort(out)
	return out
}

// LocalState is what a proxy has, against which a policy is checked.
type LocalState struct {
	Classes []string            // of its configuration: clients ask for them
	InUse   func(string) bool   // whether requests of a class are open, or came lately; nil = of none
	Groups  func() map[int]bool // whose databases it knows; nil = not known
}

// Check tells why a proxy can't serve under a policy; nil = it can. What is open keeps the rules by which it was taken, so that most may
// change live; what may not: a class that clients use here can't vanish, and a level can't be pinned for a group that isn't here.
func (p *Policy) Check(r LocalState) error {
	if err := p.check(); err != nil {
		return err
	}
	names := map[string]bool{}
	for _, c := range p.Classes {
		names[c.Name] = true
	}
	for _, c := range r.Classes {
		if !names[c] && r.InUse != nil && r.InUse(c) {
			return fmt.Errorf("class %s is in use and not in the policy", c)
		}
	}
	if r.Groups == nil || p.Levels == nil {
		return nil
	}
	groups := r.Groups()
	for _, held := range []map[logic.GroupID]string{p.Levels.Pin, p.Levels.Cap} {
		for g, level := range held {
			if g != levels.AllGroups && len(groups) > 0 && !groups[int(g)] {
				return fmt.Errorf("level %s is held for group %d, which has no databases here", level, g)
			}
		}
	}
	return nil
}

// check tells what makes no sense by itself.
func (p *Policy) check() error {
	seen := map[string]bool{}
	for _, c := range p.Classes {
		switch {
		case c.Name == "" || seen[c.Name]:
			return fmt.Errorf("class %q is there twice, or has no name", c.Name)
		case c.Aim <= 0 || c.Limit < c.Aim:
			return fmt.Errorf("class %s: an aim of %v and a limit of %v", c.Name, c.Aim, c.Limit)
		}
		seen[c.Name] = true
	}
	switch {
	case len(p.Classes) == 0:
		return fmt.Errorf("a policy without classes")
	case p.MaxAttempts < 1:
		return fmt.Errorf("%d attempts a request, 1 at least was expected", p.MaxAttempts)
	}
	return nil
}
