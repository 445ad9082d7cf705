// Package wire encodes the messages between nodes of package agent. Nodes of
// package agent/mesh use transport/frame; the two protocols are incompatible. The
// package converts between protobuf messages and the types of the packages model,
// logservice and policy, which document the fields. FromX encodes an X as a
// message, and ToX decodes the message.
package wire

//go:generate go build -o ../../bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
//go:generate sh -c "protoc --plugin=../../bin/protoc-gen-go --go_out=. --go_opt=paths=source_relative *.proto" membership.proto
