// Package rules holds the project's own lint rules, in a file that only the
// linter reads.
//
// # Usage
//
// The linter's ruleguard setting names rules.go; nothing imports this package.
package rules
