package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesJSON []byte

// wire holds the names of the platform's protocol by their role.
var wire = func() map[string]string {
	m := map[string]string{}
	if err := json.Unmarshal(namesJSON, &m); err != nil {
		panic(err)
	}
	return m
}()

// object is a JSON object whose field names come from names.json.
type object = map[string]any
