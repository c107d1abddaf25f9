// Package stand holds small stand-ins of the outside systems that lentilstand
// meets: the platform's key-value service, host list and weight store, the
// model engines and plain services.
//
// Each stand-in is an http.Handler that speaks the published protocol of what
// it stands for, and takes orders to misbehave over HTTP, so that a test can
// cause faults in another process. They are plain net/http servers on purpose:
// they are not part of the system, and share no code with its own servers.
package stand
