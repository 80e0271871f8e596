package main

import (
	_ "embed" // for wordsText
	"encoding/json"
)

//go:embed words.json
var wordsText []byte

// words holds the platform's names of headers, paths and fields.
var words = readWords()

func readWords() map[string]string {
	out := map[string]string{}
	if err := json.Unmarshal(wordsText, &out); err != nil {
		panic(err)
	}
	return out
}
