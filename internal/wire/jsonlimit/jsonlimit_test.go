package jsonlimit

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
)

// TestElementsOfListsCount checks what each kind of value takes.
func TestElementsOfListsCount(t *testing.T) {
	for document, want := range map[string]int64{
		``:                               0,
		`{"a":{"b":"c","d":[]}}`:         3 * memberBytes,
		`[{},{"a":[]},{"a":{}}]`:         3*objectBytes + 2*memberBytes,
		`{"a":["x","\"[{","\\"]}`:        3*textBytes + memberBytes,
		`[[1,-2.5e3, true,null],[]]`:     2*listBytes + 4*scalarBytes,
		"{\"a\": [ {\"b\" : [ 1 ] } ] }": objectBytes + scalarBytes + 2*memberBytes,
		`{"a":{"b":[{"c":[{}]}]}}`:       objectBytes + innerBytes + 3*memberBytes,
		`]]}"`:                           0,
		`["`:                             textBytes,
		`["\`:                            textBytes,
	} {
		if got, err := Bytes([]byte(document), want); err != nil || got != want {
			t.Errorf("%s takes %d bytes, %v, want %d", document, got, err, want)
		}
		if _, err := Bytes([]byte(document), want-1); want > 0 && !errors.Is(err, ErrTooLarge) {
			t.Errorf("%s with a limit of %d: %v, want ErrTooLarge", document, want-1, err)
		}
	}
}

// TestDeepDocumentIsLeftToTheDecoder checks that brackets without end take no memory.
func TestDeepDocumentIsLeftToTheDecoder(t *testing.T) {
	document := []byte(strings.Repeat("[", 1<<20))
	if _, err := Bytes(document, 1<<40); err != nil {
		t.Error(err)
	}
	var v any
	if json.Unmarshal(document, &v) == nil {
		t.Error("the decoder takes the document")
	}
}

func FuzzBytes(f *testing.F) {
	f.Add([]byte(`{"a":["x","\"[{","\\"],"b":[{},1,null]}`))
	f.Fuzz(func(t *testing.T, document []byte) {
		if _, err := Bytes(document, int64(len(document))*objectBytes); err != nil {
			t.Errorf("%q: %v", document, err)
		}
	})
}
