//go:build review3

package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// names are the platform's names in messages and settings, by those of the stand-ins.
var names = func() map[string]string {
	m := map[string]string{}
	if err := json.Unmarshal(namesFile, &m); err != nil {
		panic(err)
	}
	return m
}()

// object is a decoded message.
type object map[string]json.RawMessage

// get decodes a field if it is there.
func (o object) get(name string, target any) bool {
	text, ok := o[name]
	return !ok || json.Unmarshal(text, target) == nil
}
