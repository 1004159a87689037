// Package peerlink transports messages between the nodes of a deployment. It sends protobuf over yamux, with TLS if certificates
// are configured.
package peerlink
