// Package wire holds the generated messages of the inner protocol.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative wire.proto
