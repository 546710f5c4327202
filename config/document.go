package config

import (
	"chestnutlatch/ident"
	"chestnutlatch/record"
)

// Document is a complete configuration that the platform's operators store as
// one value, decoded and checked.
type Document struct {
	Revision ident.Revision
	Records  []record.Body
	Limits   record.CallerLimits
}

// DocumentSource is the location of a document in the store and its decoder.
type DocumentSource struct {
	// Key is the store key of the document.
	Key string
	// Decode decodes and checks the stored value.
	Decode func(raw []byte) (*Document, error)
}
