package route

import (
	"slices"

	"github.com/lentilstand/lentilstand/pkg/config"
)

// Rules are the configuration versions that an entry applies: the one in force and
// the staged one, if any. Only what both versions allow is allowed, so an entry
// that doesn't know yet whether the staged version has been committed routes
// correctly in either case.
type Rules struct {
	head    *config.Version
	pending *config.Version
}

// NewRules returns the rules of the version in force and of the staged one, nil if
// there is none.
func NewRules(head, pending *config.Version) Rules {
	return Rules{head: head, pending: pending}
}

// Head returns the version in force.
func (r Rules) Head() *config.Version { return r.head }

// Pending returns the staged version, nil if there is none.
func (r Rules) Pending() *config.Version { return r.pending }

// Config returns the configuration in force.
func (r Rules) Config() *config.Config { return r.head.Config() }

// TeamByKey returns the team whose API key has the given SHA-256.
func (r Rules) TeamByKey(keySHA256 string) (config.Team, bool) {
	team, ok := r.Config().TeamByKey(keySHA256)
	if !ok || r.pending == nil {
		return team, ok
	}
	staged, ok := r.pending.Config().TeamByKey(keySHA256)
	return team, ok && staged.Name() == team.Name()
}

// ServiceOfModel returns the service that serves a model. If the versions disagree
// on it, ambiguous is true and ok is false.
func (r Rules) ServiceOfModel(model string) (service config.Service, ambiguous, ok bool) {
	return r.lookup(func(c *config.Config) (config.Service, bool) {
		found, ok := c.Model(model)
		if !ok {
			return config.Service{}, false
		}
		return c.Service(found.Service())
	})
}

// ServiceOfPath returns the plain service that a path belongs to. If the versions
// disagree on it, ambiguous is true and ok is false.
func (r Rules) ServiceOfPath(path string) (service config.Service, ambiguous, ok bool) {
	return r.lookup(func(c *config.Config) (config.Service, bool) { return c.ServiceByPath(path) })
}

// lookup finds a service in both versions. Its requests may be repeated only if
// both versions allow it.
func (r Rules) lookup(find func(*config.Config) (config.Service, bool)) (service config.Service, ambiguous, ok bool) {
	service, ok = find(r.Config())
	if r.pending == nil {
		return service, false, ok
	}
	staged, okStaged := find(r.pending.Config())
	if !ok || !okStaged || service.Name() != staged.Name() || service.Kind() != staged.Kind() {
		return service, ok || okStaged, false
	}
	if !staged.Repeatable() {
		return staged, false, true
	}
	return service, false, true
}

// MayUse reports whether a team may use a service.
func (r Rules) MayUse(team config.Team, service string) bool {
	if !team.MayUse(service) {
		return false
	}
	if r.pending == nil {
		return true
	}
	staged, ok := r.pending.Config().Team(team.Name())
	return ok && staged.MayUse(service)
}

// UsableEndpoints returns the endpoints of a service that requests may go to. An
// endpoint whose address differs between the versions isn't usable.
func (r Rules) UsableEndpoints(service string) []config.Endpoint {
	usable := r.Config().UsableEndpoints(service)
	if r.pending == nil {
		return usable
	}
	staged := r.pending.Config().UsableEndpoints(service)
	return slices.DeleteFunc(usable, func(e config.Endpoint) bool {
		return !slices.ContainsFunc(staged, func(s config.Endpoint) bool {
			return s.Name() == e.Name() && s.Address() == e.Address()
		})
	})
}

// DataCentreInService reports whether a data centre is in service.
func (r Rules) DataCentreInService(name string) bool {
	if dataCentre, ok := r.Config().DataCentre(name); !ok || dataCentre.OutOfService() {
		return false
	}
	if r.pending == nil {
		return true
	}
	dataCentre, ok := r.pending.Config().DataCentre(name)
	return ok && !dataCentre.OutOfService()
}
