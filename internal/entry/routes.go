package entry

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilstand/lentilstand/internal/admin"
	"github.com/lentilstand/lentilstand/internal/apierr"
	"github.com/lentilstand/lentilstand/internal/hints"
	"github.com/lentilstand/lentilstand/internal/webio"
	"github.com/lentilstand/lentilstand/pkg/config"
	"github.com/lentilstand/lentilstand/pkg/route"
)

// Paths that the entry serves itself.
const (
	pathEntries  = "/v1/entries"
	pathModels   = "/v1/models"
	pathChat     = "/v1/chat/completions"
	pathOutcomes = "/v1/outcomes/"
	apiPrefix    = "/v1/"
)

// ServeExchange handles a request from a caller. It implements [webio.Handler].
func (e *Entry) ServeExchange(exchange *webio.Exchange) {
	e.active.Add(1)
	defer e.active.Add(-1)
	path := exchange.Request().URL.Path
	switch {
	case path == pathEntries:
		e.requireMethod(exchange, http.MethodGet, e.serveEntries)
	case path == pathModels:
		e.requireMethod(exchange, http.MethodGet, e.serveModels)
	case path == pathChat:
		e.requireMethod(exchange, http.MethodPost, e.serveChat)
	case strings.HasPrefix(path, pathOutcomes):
		e.requireMethod(exchange, http.MethodGet, e.serveOutcome)
	case strings.HasPrefix(path, apiPrefix):
		e.refuse(exchange, apierr.New(http.StatusNotFound, "unknown_path", "there is no such path"))
	default:
		e.servePlain(exchange)
	}
}

func (e *Entry) requireMethod(exchange *webio.Exchange, method string, serve func(*webio.Exchange)) {
	if exchange.Request().Method == method {
		serve(exchange)
		return
	}
	err := apierr.New(http.StatusMethodNotAllowed, "method_not_allowed", "this path supports "+method+" only")
	header := err.Header()
	header.Set("Allow", method)
	exchange.Reply(err.Status(), header, err.Body())
	e.requests.Add(1, err.Code())
}

// noConfigurationError returns the error for requests that arrive before the first
// configuration is known.
func noConfigurationError() *apierr.Error {
	return apierr.New(http.StatusServiceUnavailable, "no_configuration", "the configuration is not loaded yet")
}

// wireAddress is the JSON form of an entry's address.
type wireAddress struct {
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// wireAddresses is the response to GET /v1/entries.
type wireAddresses struct {
	Entries []wireAddress `json:"entries"`
	TTL     int           `json:"ttl_s"`
}

// serveEntries responds with the addresses of all entries in service. Entries in the
// data centre that the caller names come first. Otherwise the order depends on a hash
// of the caller, which spreads callers over the entries.
func (e *Entry) serveEntries(exchange *webio.Exchange) {
	rules := e.follower.currentRules()
	if rules == nil {
		e.refuse(exchange, noConfigurationError())
		return
	}
	request := exchange.Request()
	caller := request.Header.Get("Authorization")
	if from, err := netip.ParseAddrPort(request.RemoteAddr); err == nil {
		caller += from.Addr().String()
	}
	preferred := request.URL.Query().Get("data_centre")
	response := wireAddresses{Entries: []wireAddress{}, TTL: int(e.settings.AddressTTL().Seconds())}
	for _, m := range e.follower.memberList() {
		if m.Leaving() || !rules.DataCentreInService(m.DataCentre()) {
			continue
		}
		response.Entries = append(response.Entries, wireAddress{Address: m.ClientAddress(), DataCentre: m.DataCentre()})
	}
	slices.SortFunc(response.Entries, func(a, b wireAddress) int {
		if a.DataCentre != b.DataCentre && (a.DataCentre == preferred || b.DataCentre == preferred) {
			return cmp.Compare(boolRank(a.DataCentre == preferred), boolRank(b.DataCentre == preferred))
		}
		return cmp.Compare(callerHash(caller, a.Address), callerHash(caller, b.Address))
	})
	admin.ReplyJSON(exchange, http.StatusOK, response)
}

// boolRank orders true before false.
func boolRank(b bool) int {
	if b {
		return 0
	}
	return 1
}

func callerHash(caller, address string) uint64 { return xxhash.Sum64String(caller + "\x00" + address) }

// wireModel is a model in the response to GET /v1/models.
type wireModel struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// wireModels is the response to GET /v1/models.
type wireModels struct {
	Object string      `json:"object"`
	Data   []wireModel `json:"data"`
}

// serveModels responds with the models that the caller's team may use.
func (e *Entry) serveModels(exchange *webio.Exchange) {
	rules, team, refusal := e.identify(exchange.Request())
	if refusal != nil {
		e.refuse(exchange, refusal)
		return
	}
	response := wireModels{Object: "list", Data: []wireModel{}}
	for _, model := range rules.Config().Models() {
		if rules.MayUse(team, model.Service()) {
			response.Data = append(response.Data, wireModel{ID: model.Name(), Object: "model", OwnedBy: "lentilstand"})
		}
	}
	admin.ReplyJSON(exchange, http.StatusOK, response)
}

// identify authenticates the caller by API key and returns its team.
func (e *Entry) identify(request *http.Request) (*route.Rules, config.Team, *apierr.Error) {
	rules := e.follower.currentRules()
	if rules == nil {
		return nil, config.Team{}, noConfigurationError()
	}
	key, ok := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, config.Team{}, apierr.New(http.StatusUnauthorized, "missing_api_key",
			"the Authorization header must contain a team's API key as a bearer token")
	}
	sum := sha256.Sum256([]byte(key))
	team, ok := rules.TeamByKey(hex.EncodeToString(sum[:]))
	if !ok {
		return nil, config.Team{}, apierr.New(http.StatusUnauthorized, "unknown_team", "no team has this API key")
	}
	return rules, team, nil
}

// wireChat holds the fields of a chat request that routing uses.
type wireChat struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

// prompt returns the beginning of the prompt as engines cache it, or the empty
// string if the content of a message is not plain text.
func (c wireChat) prompt() string {
	var prompt strings.Builder
	for _, message := range c.Messages {
		var content string
		if json.Unmarshal(message.Content, &content) != nil {
			return ""
		}
		prompt.WriteString(message.Role + ": " + content + "\n")
		if prompt.Len() >= hints.PrefixBytes {
			break
		}
	}
	return prompt.String()
}

// sessionPrefixBytes is the length of the prefix of the first message by which
// requests without a session ID are assigned to the same endpoint's cache.
const sessionPrefixBytes = 256

// sessionDigest returns a hash of the beginning of the first message, used as the
// session ID if the caller sends none. Audit records store it, so it must not
// contain any of the callers' text.
func (c wireChat) sessionDigest() string {
	if len(c.Messages) == 0 {
		return ""
	}
	content := c.Messages[0].Content
	return strconv.FormatUint(xxhash.Sum64(content[:min(len(content), sessionPrefixBytes)]), 36)
}

// serveChat handles a chat completion request.
func (e *Entry) serveChat(exchange *webio.Exchange) {
	rules, team, refusal := e.identify(exchange.Request())
	if refusal != nil {
		e.refuse(exchange, refusal)
		return
	}
	body := exchange.Body()
	var chat wireChat
	if err := json.Unmarshal(body, &chat); err != nil {
		e.refuse(exchange, apierr.New(http.StatusBadRequest, "malformed_json", "the body is not a valid chat request: "+err.Error()))
		return
	}
	if chat.Model == "" {
		e.refuse(exchange, apierr.New(http.StatusBadRequest, "missing_model", "the field \"model\" is missing"))
		return
	}
	service, inDoubt, ok := rules.ServiceOfModel(chat.Model)
	if !ok {
		e.refuse(exchange, notFoundError(inDoubt, "unknown_model", "there is no model "+chat.Model))
		return
	}
	r := newInflight(e, exchange, team, service)
	r.streaming = chat.Stream
	r.body = body
	r.target = chat.Model
	if prompt := chat.prompt(); prompt != "" {
		r.prefix = hints.HashPrefix(prompt)
	}
	r.parts = chat.sharedParts(service.Name())
	if r.session == "" {
		r.session = chat.sessionDigest()
	}
	r.serve()
}

// servePlain handles a request to a plain service.
func (e *Entry) servePlain(exchange *webio.Exchange) {
	rules, team, refusal := e.identify(exchange.Request())
	if refusal != nil {
		e.refuse(exchange, refusal)
		return
	}
	service, inDoubt, ok := rules.ServiceOfPath(exchange.Request().URL.Path)
	if !ok {
		e.refuse(exchange, notFoundError(inDoubt, "unknown_path", "there is no such path"))
		return
	}
	r := newInflight(e, exchange, team, service)
	r.body = exchange.Body()
	r.serve()
}

// notFoundError returns the error for a model or path that the configuration does
// not contain, or on which the current and the pending version disagree.
func notFoundError(inDoubt bool, code, message string) *apierr.Error {
	if inDoubt {
		return apierr.New(http.StatusServiceUnavailable, "configuration_changing",
			"the configuration is changing; try again", apierr.WithRetryAfter(shortRetryAfter))
	}
	return apierr.New(http.StatusNotFound, code, message)
}
