package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesFile []byte

// names holds the names on the wire between daemons and their surroundings.
var names struct {
	Attempt   string `json:"attempt"`
	Deadline  string `json:"deadline"`
	Expected  string `json:"expected"`
	Tenant    string `json:"tenant"`
	Caller    string `json:"caller"`
	NotRun    string `json:"not_run"`
	Signature string `json:"signature"`
	Instance  string `json:"instance"`
	Beats     string `json:"beats"`
	Ready     string `json:"ready"`
	KVKey     string `json:"kv_key"`
	KVRange   string `json:"kv_range"`
	KVWatch   string `json:"kv_watch"`
	KVTxn     string `json:"kv_txn"`
	KVLease   string `json:"kv_lease"`
	KVKeep    string `json:"kv_keep"`
	KVEnd     string `json:"kv_end"`
	More      string `json:"more"`
	At        string `json:"at"`
	ConfigKey string `json:"config_key"`

	Config   json.RawMessage `json:"config"`
	Settings json.RawMessage `json:"settings"`
}

func init() {
	if err := json.Unmarshal(namesFile, &names); err != nil {
		panic(err)
	}
}
