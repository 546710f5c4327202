package config

import (
	"chestnutlatch/clock"
	"chestnutlatch/ident"
	"chestnutlatch/record"
)

// Limits bound what a caller may send. A zero value leaves the setting in
// force.
type Limits struct {
	// HeaderBytes and BodyBytes are the largest head and body of a request.
	HeaderBytes int
	BodyBytes   int
	// HeaderTime bounds the reading of a head, in milliseconds.
	HeaderTime clock.Millis
	// IdleTime is how long a connection may rest, in milliseconds.
	IdleTime clock.Millis
}

// Document is a whole configuration that the platform's operators keep as one
// value, read and checked.
type Document struct {
	Revision ident.Revision
	Records  []record.Body
	Limits   Limits
}

// DocumentSource says where a document lies and how to read it.
type DocumentSource struct {
	// Key is the store key of the document.
	Key string
	// Read decodes and checks the value.
	Read func(raw []byte) (*Document, error)
}
