// Package config is a stand-in for the configuration in force: a Fleet with
// the pools and hosts that a test names, without records and their feed.
//
// # Usage
//
//	source := config.NewSource(config.New(1, pools, hosts))
//	source.Set(config.New(2, pools, others))
package config
