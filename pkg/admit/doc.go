// Package admit limits work so that no endpoint is given more than it can bear
// and no team takes what belongs to another.
//
// A Gate stands at an endpoint, where all entries meet. It hands out credits:
// the sum of the credits that are granted and of the requests that run never
// exceeds its capacity, whatever the entries believe. A credit that nobody uses
// lapses, so an entry that dies holds nothing for long. A credit can be revoked,
// and a revoked credit starts nothing, which makes the statement "not run" true
// even if the request arrives later.
//
// A Ramp sets the capacity of a Gate. It opens it with work that was completed
// in time and closes it when the endpoint turns cold.
//
// A Queue stands at an entry, one for each service. It holds requests in a
// bounded space and lets teams take turns by their weights.
package admit
