// Package configfile decodes configuration files written as JSON with comments.
// Its errors state file, line, key and reason.
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

// maxFileBytes limits the size of a file.
const maxFileBytes = 4 << 20

// Error is an error in a configuration file.
type Error struct {
	File string
	// Line counts from 1. It is 0 if the error concerns the whole file.
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

// Problem is a value that a Checker rejects.
type Problem struct {
	// Key is the path of the key within the checked value.
	Key    string
	Reason string
}

// Checker validates its own values after decoding. Only the first problem that
// it returns is reported.
type Checker interface {
	Check() []Problem
}

// decoder decodes one file.
type decoder struct {
	name string
	text []byte
	// lines maps the path of each key to its line.
	lines map[string]int
}

// Load decodes the named file into the struct that into points to, and validates
// it if it is a Checker. Keys that the file omits keep their values. The error
// is an *Error.
func Load(name string, into any) error {
	text, err := os.ReadFile(name)
	if err != nil {
		return &Error{File: name, Reason: "can't be read: " + err.Error()}
	}
	return Parse(name, text, into)
}

// Parse is like Load for the text of the named file.
func Parse(name string, text []byte, into any) error {
	if len(text) > maxFileBytes {
		return &Error{File: name, Reason: "is larger than " + strconv.Itoa(maxFileBytes) + " bytes"}
	}
	d := &decoder{name: name, text: text, lines: map[string]int{}}
	v, err := hujson.Parse(text)
	if err != nil {
		return &Error{File: name, Line: syntaxErrorLine(err), Reason: err.Error()}
	}
	if err := d.decode(v, reflect.ValueOf(into).Elem(), ""); err != nil {
		return err
	}
	return d.check(into)
}

func (d *decoder) check(into any) error {
	c, ok := into.(Checker)
	if !ok {
		return nil
	}
	problems := c.Check()
	if len(problems) == 0 {
		return nil
	}
	p := problems[0]
	return &Error{File: d.name, Line: d.lineOfKey(p.Key), Key: p.Key, Reason: p.Reason}
}

// lineOfKey returns the line of a key, or of its closest parent in the file. It
// returns 0 if there is none.
func (d *decoder) lineOfKey(key string) int {
	for key != "" {
		if n, ok := d.lines[key]; ok {
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

func (d *decoder) decode(v hujson.Value, into reflect.Value, path string) error {
	line := d.lineAt(v.StartOffset)
	d.lines[path] = line
	if _, ok := into.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return d.decodeLiteral(v, into, path, line)
	}
	switch into.Kind() {
	case reflect.Struct:
		return d.decodeObject(v, into, path, line)
	case reflect.Slice:
		return d.decodeArray(v, into, path, line)
	case reflect.Map:
		return d.decodeMap(v, into, path, line)
	default:
		return d.decodeLiteral(v, into, path, line)
	}
}

func (d *decoder) decodeObject(v hujson.Value, into reflect.Value, path string, line int) error {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		return d.errorAt(line, path, "must be an object")
	}
	seen := map[string]bool{}
	for _, m := range o.Members {
		key := m.Name.Value.(hujson.Literal).String()
		at := d.lineAt(m.Name.StartOffset)
		field := into.FieldByName(key)
		if !field.IsValid() {
			return d.errorAt(at, joinKey(path, key), "unknown key")
		}
		if seen[key] {
			return d.errorAt(at, joinKey(path, key), "duplicate key")
		}
		seen[key] = true
		if err := d.decode(m.Value, field, joinKey(path, key)); err != nil {
			return err
		}
		d.lines[joinKey(path, key)] = at
	}
	return nil
}

func (d *decoder) decodeArray(v hujson.Value, into reflect.Value, path string, line int) error {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		return d.errorAt(line, path, "must be a list")
	}
	out := reflect.MakeSlice(into.Type(), len(a.Elements), len(a.Elements))
	for i, e := range a.Elements {
		if err := d.decode(e, out.Index(i), fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	into.Set(out)
	return nil
}

func (d *decoder) decodeMap(v hujson.Value, into reflect.Value, path string, line int) error {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		return d.errorAt(line, path, "must be an object")
	}
	out := reflect.MakeMap(into.Type())
	for _, m := range o.Members {
		key := m.Name.Value.(hujson.Literal).String()
		value := reflect.New(into.Type().Elem()).Elem()
		if err := d.decode(m.Value, value, joinKey(path, key)); err != nil {
			return err
		}
		out.SetMapIndex(reflect.ValueOf(key).Convert(into.Type().Key()), value)
	}
	into.Set(out)
	return nil
}

func (d *decoder) decodeLiteral(v hujson.Value, into reflect.Value, path string, line int) error {
	standard := v.Clone()
	standard.Standardize()
	if err := json.Unmarshal(standard.Pack(), into.Addr().Interface()); err != nil {
		return d.errorAt(line, path, decodeErrorReason(err))
	}
	return nil
}

func decodeErrorReason(err error) string {
	if t, ok := err.(*json.UnmarshalTypeError); ok {
		return "is a " + t.Value + ", not a " + t.Type.Kind().String()
	}
	return err.Error()
}

func (d *decoder) errorAt(line int, key, reason string) error {
	return &Error{File: d.name, Line: line, Key: key, Reason: reason}
}

func (d *decoder) lineAt(offset int) int {
	return 1 + strings.Count(string(d.text[:offset]), "\n")
}

func joinKey(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// syntaxErrorLine extracts the line from the text of a hujson syntax error. It
// returns 0 if the text has none.
func syntaxErrorLine(err error) int {
	_, rest, ok := strings.Cut(err.Error(), "line ")
	if !ok {
		return 0
	}
	number, _, _ := strings.Cut(rest, ",")
	n, _ := strconv.Atoi(strings.TrimSpace(number))
	return n
}
