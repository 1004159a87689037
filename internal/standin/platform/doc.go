// Package platform is a stand-in for the platform that deployments run on: a transactional table service, an object store, and
// a list of VMs that lags behind. It can inject outages, slow answers and lost answers.
package platform
