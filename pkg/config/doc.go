// Package config holds the operators' numbered configuration: the data centres,
// endpoints, services, model names and teams, and their limits.
//
// A Config is immutable. Operators change it by a Patch against a numbered
// Version: the patch names the version that it is based on and the objects that
// it sets or deletes. Applying a patch gives the next version, whose hash covers
// the configuration and the hash of the previous version. The history is thus a
// hash chain, in which a change to any version is detected.
//
// Parse and ParsePatch report every finding with its position in the text. The
// same code decodes the files of operators and the values in the key-value
// service.
package config
