// Package tablehttp is a client of the platform's table service, object store and VM list, which use JSON over HTTP.
package tablehttp
