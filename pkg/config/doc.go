// Package config holds the operators' numbered configuration: the data centres,
// endpoints, services, model names and teams, and the limits that hold for them.
//
// A Config is immutable. Operators change it by a Patch against a numbered
// Version: the patch names the version that it is based on and the objects that
// it sets or deletes. Applying a patch gives the next version, whose hash covers
// the configuration and the hash of the version before it, so that the history
// is a chain that nobody can change unnoticed.
//
// Texts are read by Parse and ParsePatch, which report every finding with its
// place. The same mapping reads what operators write and what the key-value
// service holds.
package config
