// Package tenant decides which operations of rate-limited tenants may run, so that each tenant stays within its limit over all
// nodes of a fleet. The home of a tenant lends credit for operations; the nodes where callers arrive borrow it. The package
// performs no I/O.
package tenant
