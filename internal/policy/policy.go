// Package policy defines the settings that all proxies of a tier share: the classes with their effects, limits and attempts, levels of
// reduced service, which requests are held during a change of primary, and routing. A policy is one typed value with a canonical form
// (RFC 8949, 4.2.1: core deterministic encoding of CBOR) and a hash. The package checks which changes are possible while a proxy runs, and
// compares policies. It has no side effects: package run puts a policy into effect, in the same way as a reload.
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

// Policy is the policy of a tier. Its classes are in the order of the configuration.
type Policy struct {
	Classes     []logic.Class
	MaxAttempts int
	MayComeBack bool          // refusals tell clients when to retry
	MaxComeBack time.Duration // the longest such hint

	Levels   *levels.Config // of reduced service; nil = off
	Handover handover.Config
	Tuning   logic.Tuning
}

// MaxBytes bounds the encoded form of a policy.
const MaxBytes = 128 << 10

var (
	encoder, _ = cbor.CoreDetEncOptions().EncMode()
	decoder, _ = cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 16, MaxNestedLevels: 16}.DecMode()
)

// Encode returns the canonical form: equal policies have equal bytes. It returns an error if the form is longer than MaxBytes.
func (p *Policy) Encode() ([]byte, error) {
	text, err := encoder.Marshal(p)
	if err == nil && len(text) > MaxBytes {
		err = fmt.Errorf("policy: %d bytes, %d at most were expected", len(text), MaxBytes)
	}
	return text, err
}

// Decode decodes a policy. Unknown fields are an error, since a proxy must not serve under a policy that it understands only in part.
func Decode(text []byte) (*Policy, error) {
	if len(text) > MaxBytes {
		return nil, fmt.Errorf("policy: %d bytes, %d at most were expected", len(text), MaxBytes)
	}
	p := &Policy{}
	if err := decoder.Unmarshal(text, p); err != nil {
		return nil, fmt.Errorf("policy: not readable by this version: %w", err)
	}
	encoded, err := p.Encode()
	if err == nil && !bytes.Equal(encoded, text) {
		err = fmt.Errorf("policy: not in its canonical form")
	}
	return p, err
}

// Hash returns the first 16 hexadecimal digits of the SHA-256 of an encoded policy.
func Hash(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:8])
}

// Diff returns the lines in which two policies differ, with "- " before a line of from and "+ " before a line of to. Either may be nil.
func Diff(from, to *Policy) (lines []string) {
	before, after := from.Lines(), to.Lines()
	for _, line := range before {
		if !slices.Contains(after, line) {
			lines = append(lines, "- "+line)
		}
	}
	for _, line := range after {
		if !slices.Contains(before, line) {
			lines = append(lines, "+ "+line)
		}
	}
	key := func(line string) string { return strings.SplitN(line[2:], " = ", 2)[0] }
	slices.SortStableFunc(lines, func(x, y string) int { return strings.Compare(key(x), key(y)) })
	return lines
}

// Lines returns each setting that isn't zero as "path = value", sorted.
func (p *Policy) Lines() (lines []string) {
	if p == nil {
		return nil
	}
	var appendLines func(path string, value reflect.Value)
	appendLines = func(path string, value reflect.Value) {
		if value.IsZero() {
			return
		}
		if stringer, ok := value.Interface().(fmt.Stringer); ok {
			lines = append(lines, path+" = "+stringer.String())
			return
		}
		switch value.Kind() {
		case reflect.Pointer:
			appendLines(path, value.Elem())
		case reflect.Struct:
			for i := range value.NumField() {
				appendLines(path+"."+value.Type().Field(i).Name, value.Field(i))
			}
		case reflect.Slice:
			for i := range value.Len() {
				element, name := value.Index(i), fmt.Sprint(i)
				if element.Kind() == reflect.Struct {
					if field := element.FieldByName("Name"); field.IsValid() {
						name = field.String()
					}
				}
				appendLines(path+"["+name+"]", element)
			}
		case reflect.Map:
			for _, key := range value.MapKeys() {
				appendLines(fmt.Sprintf("%s[%v]", path, key), value.MapIndex(key))
			}
		default:
			lines = append(lines, fmt.Sprintf("%s = %v", path, value))
		}
	}
	appendLines("", reflect.ValueOf(*p))
	for i := range lines {
		lines[i] = strings.TrimPrefix(lines[i], ".")
	}
	slices.Sort(lines)
	return lines
}

// LocalState is the state of a proxy that a policy is checked against.
type LocalState struct {
	Classes []string            // classes of the configuration, which clients request
	InUse   func(string) bool   // whether a class has open or recent requests; nil = no class has
	Groups  func() map[int]bool // groups with known databases; nil = unknown
}

// Check returns why a proxy can't serve under a policy; nil = it can. Most settings may change while requests are open, since each request
// keeps the rules under which it was admitted. Exceptions: a class that clients use can't be removed, and a level can't be pinned or capped
// for a group without databases.
func (p *Policy) Check(local LocalState) error {
	if err := p.checkValues(); err != nil {
		return err
	}
	names := map[string]bool{}
	for _, class := range p.Classes {
		names[class.Name] = true
	}
	for _, class := range local.Classes {
		if !names[class] && local.InUse != nil && local.InUse(class) {
			return fmt.Errorf("class %s is in use and not in the policy", class)
		}
	}
	if local.Groups == nil || p.Levels == nil {
		return nil
	}
	groups := local.Groups()
	for _, levelsByGroup := range []map[logic.GroupID]string{p.Levels.Pin, p.Levels.Cap} {
		for group, level := range levelsByGroup {
			if group != levels.AllGroups && len(groups) > 0 && !groups[int(group)] {
				return fmt.Errorf("level %s is held for group %d, which has no databases here", level, group)
			}
		}
	}
	return nil
}

// checkValues returns an error if the policy is invalid regardless of the proxy.
func (p *Policy) checkValues() error {
	names := map[string]bool{}
	for _, class := range p.Classes {
		switch {
		case class.Name == "" || names[class.Name]:
			return fmt.Errorf("class %q is there twice, or has no name", class.Name)
		case class.Aim <= 0 || class.Limit < class.Aim:
			return fmt.Errorf("class %s: an aim of %v and a limit of %v", class.Name, class.Aim, class.Limit)
		}
		names[class.Name] = true
	}
	switch {
	case len(p.Classes) == 0:
		return fmt.Errorf("a policy without classes")
	case p.MaxAttempts < 1:
		return fmt.Errorf("%d attempts a request, 1 at least was expected", p.MaxAttempts)
	}
	return nil
}
