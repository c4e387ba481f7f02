//go:build review

package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesText []byte

// platformNames holds what the platform's messages and settings call things. Go sources outside
// platform/ don't spell these names.
var platformNames = func() map[string]string {
	names := map[string]string{}
	if err := json.Unmarshal(namesText, &names); err != nil {
		panic(err)
	}
	return names
}()
