//go:build review2

package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesText []byte

// names holds what the platform's messages and settings call things. Go sources outside platform/ don't
// spell these names.
var names = func() map[string]string {
	list := map[string]string{}
	if err := json.Unmarshal(namesText, &list); err != nil {
		panic(err)
	}
	return list
}()
