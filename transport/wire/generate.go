// Package wire encodes the messages between nodes of package agent; those of
// package agent/mesh use transport/frame and cannot communicate with them. It
// converts between protobuf messages and the types of the packages model,
// logservice and policy, whose fields describe the content. FromX returns the
// message for an X, and ToX the reverse.
package wire

//go:generate go build -o ../../bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
//go:generate sh -c "protoc --plugin=../../bin/protoc-gen-go --go_out=. --go_opt=paths=source_relative *.proto" membership.proto
