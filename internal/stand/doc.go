// Package stand implements stand-ins (fakes) for the external systems that
// lentilstand depends on: the platform's key-value service, host list and weight
// store, model engines and plain services.
//
// Each stand-in is an http.Handler that implements the published protocol of the
// system it replaces, except Raw, which breaks that of endpoints. Engine and Plain
// accept fault injection over HTTP, so that a test can cause faults in another
// process. The stand-ins use net/http and share no code with lentilstand's own
// servers, because they aren't part of the system under test.
package stand
