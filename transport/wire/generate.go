// Package wire encodes the messages between nodes. It converts between
// protobuf frames and the plain types of package model.
package wire

//go:generate go build -o ../../bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
//go:generate sh -c "protoc --plugin=../../bin/protoc-gen-go --go_out=. --go_opt=paths=source_relative *.proto" membership.proto
