// Package rpc holds the messages and services between chervilrun's own processes,
// generated from the .proto files here.
package rpc
