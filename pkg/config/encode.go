package config

import "encoding/json"

// The wire types are the JSON forms of the domain types.
type (
	wireConfig struct {
		DataCentres []wireDataCentre `json:"data_centres"`
		Endpoints   []wireEndpoint   `json:"endpoints"`
		Services    []wireService    `json:"services"`
		Models      []wireModel      `json:"models"`
		Teams       []wireTeam       `json:"teams"`
	}
	wireDataCentre struct {
		Name   string `json:"name"`
		Region string `json:"region"`
		Out    bool   `json:"out,omitempty"`
	}
	wireEndpoint struct {
		Name       string `json:"name"`
		Service    string `json:"service"`
		DataCentre string `json:"data_centre"`
		Address    string `json:"address"`
		Host       string `json:"host,omitempty"`
		Leaving    bool   `json:"leaving,omitempty"`
	}
	wireService struct {
		Name       string         `json:"name"`
		Kind       string         `json:"kind"`
		PathPrefix string         `json:"path_prefix,omitempty"`
		Repeatable bool           `json:"repeatable"`
		TimeoutMS  int64          `json:"timeout_ms"`
		Queue      wireQueue      `json:"queue"`
		Retry      wireRetry      `json:"retry"`
		Objectives wireObjectives `json:"objectives"`
	}
	wireQueue struct {
		MaxRequests int   `json:"max_requests"`
		MaxBytes    int64 `json:"max_bytes"`
		MaxWaitMS   int64 `json:"max_wait_ms"`
	}
	wireRetry struct {
		MaxAttempts int `json:"max_attempts"`
		Percent     int `json:"percent"`
	}
	wireObjectives struct {
		FirstTokenMS int64 `json:"first_token_ms"`
		TokenGapMS   int64 `json:"token_gap_ms"`
		GoodPercent  int   `json:"good_percent"`
	}
	wireModel struct {
		Name    string `json:"name"`
		Service string `json:"service"`
	}
	wireTeam struct {
		Name      string   `json:"name"`
		KeySHA256 string   `json:"key_sha256"`
		Weight    int      `json:"weight"`
		Priority  int      `json:"priority"`
		MaxActive int      `json:"max_active"`
		Services  []string `json:"services,omitempty"`
	}
)

// Encode returns the configuration as JSON. Equal configurations have equal
// encodings, since objects are sorted by name and defaults are written out.
func (c *Config) Encode() []byte {
	wire := wireConfig{
		DataCentres: convert(c.DataCentres(), toWireDataCentre),
		Endpoints:   convert(c.Endpoints(), toWireEndpoint),
		Services:    convert(c.Services(), toWireService),
		Models:      convert(c.Models(), toWireModel),
		Teams:       convert(c.Teams(), toWireTeam),
	}
	return mustEncode(wire)
}

func convert[D, W any](domain []D, toWire func(D) W) []W {
	wire := make([]W, 0, len(domain))
	for _, value := range domain {
		wire = append(wire, toWire(value))
	}
	return wire
}

// mustEncode encodes a wire type as JSON. It panics on an error, which can't occur
// because wire types consist of plain values only.
func mustEncode(wire any) []byte {
	data, err := json.Marshal(wire)
	if err != nil {
		panic("config: a wire type can't be encoded: " + err.Error())
	}
	return data
}

func toWireDataCentre(d DataCentre) wireDataCentre {
	return wireDataCentre{Name: d.name, Region: d.region, Out: d.outOfService}
}

func toWireEndpoint(e Endpoint) wireEndpoint {
	return wireEndpoint{
		Name:       e.name,
		Service:    e.service,
		DataCentre: e.dataCentre,
		Address:    e.address,
		Host:       e.host,
		Leaving:    e.leaving,
	}
}

func toWireService(s Service) wireService {
	return wireService{
		Name:       s.name,
		Kind:       string(s.kind),
		PathPrefix: s.pathPrefix,
		Repeatable: s.repeatable,
		TimeoutMS:  s.timeout.Milliseconds(),
		Queue: wireQueue{
			MaxRequests: s.queue.maxRequests,
			MaxBytes:    s.queue.maxBytes,
			MaxWaitMS:   s.queue.maxWait.Milliseconds(),
		},
		Retry: wireRetry{MaxAttempts: s.retry.maxAttempts, Percent: s.retry.percent},
		Objectives: wireObjectives{
			FirstTokenMS: s.objectives.firstToken.Milliseconds(),
			TokenGapMS:   s.objectives.tokenGap.Milliseconds(),
			GoodPercent:  s.objectives.goodPercent,
		},
	}
}

func toWireModel(m Model) wireModel {
	return wireModel{Name: m.name, Service: m.service}
}

func toWireTeam(t Team) wireTeam {
	return wireTeam{
		Name:      t.name,
		KeySHA256: t.keySHA256,
		Weight:    t.weight,
		Priority:  t.priority,
		MaxActive: t.maxActive,
		Services:  t.services,
	}
}
