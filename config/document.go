package config

import (
	"chestnutlatch/ident"
	"chestnutlatch/record"
)

// Document is a whole configuration that the platform's operators keep as one
// value, read and checked.
type Document struct {
	Revision ident.Revision
	Records  []record.Body
	Limits   record.CallerLimits
}

// DocumentSource says where a document lies and how to read it.
type DocumentSource struct {
	// Key is the store key of the document.
	Key string
	// Read decodes and checks the value.
	Read func(raw []byte) (*Document, error)
}
