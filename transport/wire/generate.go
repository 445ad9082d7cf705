// Package wire encodes the messages between nodes. It converts between
// protobuf messages and the types of the packages model and policy. Functions
// named From encode, and functions named To decode.
package wire

//go:generate go build -o ../../bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
//go:generate sh -c "protoc --plugin=../../bin/protoc-gen-go --go_out=. --go_opt=paths=source_relative *.proto" membership.proto
