// Package configfile reads settings written as JSON with comments and names file,
// line, key and reason of everything it refuses.
package configfile

import (
	"encoding"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// maxFileBytes bounds a settings file.
const maxFileBytes = 4 << 20

// Error tells what is wrong in a settings file.
type Error struct {
	File string
	// Line counts from one. It is zero where the file as a whole is at
	// fault.
	Line int
	// Key is the path of the key, such as Entry.Listen.
	Key    string
	Reason string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s%s", e.File, keyPrefix(e.Key), e.Reason)
	}
	return fmt.Sprintf("%s:%d: %s%s", e.File, e.Line, keyPrefix(e.Key), e.Reason)
}

func keyPrefix(key string) string {
	if key == "" {
		return ""
	}
	return key + ": "
}

// Problem is a value that a section's checks refuse.
type Problem struct {
	// Key is the path of the key within the checked value.
	Key    string
	Reason string
}

// Checker is a section that checks its values after reading.
type Checker interface {
	Check() []Problem
}

// decoder reads one file.
type decoder struct {
	name string
	text []byte
	// lines maps the path of each key to its line.
	lines map[string]int
}

// Load reads the file into the struct that the pointer names. Values that
// the file leaves out stay as they are.
func Load(name string, into any) error {
	text, err := os.ReadFile(name)
	if err != nil {
		return &Error{File: name, Reason: "can't be read: " + err.Error()}
	}
	return Parse(name, text, into)
}

// Parse reads settings from text that came from the named file.
func Parse(name string, text []byte, into any) error {
	if len(text) > maxFileBytes {
		return &Error{File: name, Reason: "is larger than " + strconv.Itoa(maxFileBytes) + " bytes"}
	}
	r := &decoder{name: name, text: text, lines: map[string]int{}}
	v, err := hujson.Parse(text)
	if err != nil {
		return &Error{File: name, Line: syntaxErrorLine(err), Reason: err.Error()}
	}
	if err := r.decode(v, reflect.ValueOf(into).Elem(), ""); err != nil {
		return err
	}
	return r.check(into)
}

func (r *decoder) check(into any) error {
	c, ok := into.(Checker)
	if !ok {
		return nil
	}
	problems := c.Check()
	if len(problems) == 0 {
		return nil
	}
	p := problems[0]
	return &Error{File: r.name, Line: r.lineOfKey(p.Key), Key: p.Key, Reason: p.Reason}
}

// lineOfKey returns the line of a key, or of the nearest one around it.
func (r *decoder) lineOfKey(key string) int {
	for key != "" {
		if n, ok := r.lines[key]; ok {
			return n
		}
		i := strings.LastIndexAny(key, ".[")
		if i < 0 {
			return 0
		}
		key = key[:i]
	}
	return 0
}

func (r *decoder) decode(v hujson.Value, into reflect.Value, path string) error {
	line := r.lineAt(v.StartOffset)
	r.lines[path] = line
	if _, ok := into.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return r.decodeLiteral(v, into, path, line)
	}
	switch into.Kind() {
	case reflect.Struct:
		return r.decodeObject(v, into, path, line)
	case reflect.Slice:
		return r.decodeArray(v, into, path, line)
	case reflect.Map:
		return r.decodeMap(v, into, path, line)
	default:
		return r.decodeLiteral(v, into, path, line)
	}
}

func (r *decoder) decodeObject(v hujson.Value, into reflect.Value, path string, line int) error {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		return r.errorAt(line, path, "is no object")
	}
	seen := map[string]bool{}
	for _, m := range o.Members {
		key := m.Name.Value.(hujson.Literal).String()
		at := r.lineAt(m.Name.StartOffset)
		field := into.FieldByName(key)
		if !field.IsValid() {
			return r.errorAt(at, joinKey(path, key), "is no known key")
		}
		if seen[key] {
			return r.errorAt(at, joinKey(path, key), "stands twice")
		}
		seen[key] = true
		if err := r.decode(m.Value, field, joinKey(path, key)); err != nil {
			return err
		}
		r.lines[joinKey(path, key)] = at
	}
	return nil
}

func (r *decoder) decodeArray(v hujson.Value, into reflect.Value, path string, line int) error {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		return r.errorAt(line, path, "is no list")
	}
	out := reflect.MakeSlice(into.Type(), len(a.Elements), len(a.Elements))
	for i, e := range a.Elements {
		if err := r.decode(e, out.Index(i), fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	into.Set(out)
	return nil
}

func (r *decoder) decodeMap(v hujson.Value, into reflect.Value, path string, line int) error {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		return r.errorAt(line, path, "is no object")
	}
	out := reflect.MakeMap(into.Type())
	for _, m := range o.Members {
		key := m.Name.Value.(hujson.Literal).String()
		value := reflect.New(into.Type().Elem()).Elem()
		if err := r.decode(m.Value, value, joinKey(path, key)); err != nil {
			return err
		}
		out.SetMapIndex(reflect.ValueOf(key).Convert(into.Type().Key()), value)
	}
	into.Set(out)
	return nil
}

func (r *decoder) decodeLiteral(v hujson.Value, into reflect.Value, path string, line int) error {
	standard := v.Clone()
	standard.Standardize()
	if err := json.Unmarshal(standard.Pack(), into.Addr().Interface()); err != nil {
		return r.errorAt(line, path, decodeErrorReason(err))
	}
	return nil
}

func decodeErrorReason(err error) string {
	if t, ok := err.(*json.UnmarshalTypeError); ok {
		return "is a " + t.Value + ", not a " + t.Type.Kind().String()
	}
	return err.Error()
}

func (r *decoder) errorAt(line int, key, reason string) error {
	return &Error{File: r.name, Line: line, Key: key, Reason: reason}
}

func (r *decoder) lineAt(offset int) int {
	return 1 + strings.Count(string(r.text[:offset]), "\n")
}

func joinKey(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// syntaxErrorLine reads the line out of a syntax error of hujson.
func syntaxErrorLine(err error) int {
	_, rest, ok := strings.Cut(err.Error(), "line ")
	if !ok {
		return 0
	}
	number, _, _ := strings.Cut(rest, ",")
	n, _ := strconv.Atoi(strings.TrimSpace(number))
	return n
}
