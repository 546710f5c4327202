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

// DocumentSource is the location of a document and of the evacuations in the store, and
// the document's decoder.
type DocumentSource struct {
	// Prefix is the common prefix of Key and EvacuationPrefix. The store may have other
	// keys under it.
	Prefix string
	// Key is the store key of the document.
	Key string
	// EvacuationPrefix is followed by the name of a data centre. The data centre is
	// evacuated while the key exists; the value does not matter.
	EvacuationPrefix string
	// Decode decodes and checks the stored value.
	Decode func(raw []byte) (*Document, error)
}
