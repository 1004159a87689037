// Package settings parses and validates the settings of a proxy. They are JSON with comments, and every error is reported with its
// line and column.
package settings
