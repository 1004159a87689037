// Command buckthornport is a database proxy with session consistency. It also contains operator tools, a demo and stand-ins for
// the systems around the proxy.
package main
