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

// The paths that the entry answers itself.
const (
	pathEntries  = "/v1/entries"
	pathModels   = "/v1/models"
	pathChat     = "/v1/chat/completions"
	pathOutcomes = "/v1/outcomes/"
	ownPaths     = "/v1/"
)

// ServeExchange answers a caller's request.
func (e *Entry) ServeExchange(exchange *webio.Exchange) {
	e.active.Add(1)
	defer e.active.Add(-1)
	path := exchange.Request().URL.Path
	switch {
	case path == pathEntries:
		e.only(exchange, http.MethodGet, e.serveEntries)
	case path == pathModels:
		e.only(exchange, http.MethodGet, e.serveModels)
	case path == pathChat:
		e.only(exchange, http.MethodPost, e.serveChat)
	case strings.HasPrefix(path, pathOutcomes):
		e.only(exchange, http.MethodGet, e.serveOutcome)
	case strings.HasPrefix(path, ownPaths):
		e.refuse(exchange, apierr.New(http.StatusNotFound, "unknown_path", "there is nothing at this path"))
	default:
		e.servePlain(exchange)
	}
}

func (e *Entry) only(exchange *webio.Exchange, method string, serve func(*webio.Exchange)) {
	if exchange.Request().Method == method {
		serve(exchange)
		return
	}
	err := apierr.New(http.StatusMethodNotAllowed, "method_not_allowed", "this path takes "+method+" only")
	header := err.Header()
	header.Set("Allow", method)
	exchange.Reply(err.Status(), header, err.Body())
	e.requests.Add(1, err.Code())
}

// errNoConfiguration refuses what needs a configuration before there is one.
func errNoConfiguration() *apierr.Error {
	return apierr.New(http.StatusServiceUnavailable, "no_configuration", "no configuration is known yet")
}

// wireAddress is an entry's address as callers are told it.
type wireAddress struct {
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// wireAddresses is the answer to GET /v1/entries.
type wireAddresses struct {
	Entries []wireAddress `json:"entries"`
	TTL     int           `json:"ttl_s"`
}

// serveEntries tells a caller which addresses to use: those of its data centre
// first, if it names one, and in an order of its own, so that callers spread.
func (e *Entry) serveEntries(exchange *webio.Exchange) {
	rules := e.follower.currentRules()
	if rules == nil {
		e.refuse(exchange, errNoConfiguration())
		return
	}
	request := exchange.Request()
	caller := request.Header.Get("Authorization")
	if from, err := netip.ParseAddrPort(request.RemoteAddr); err == nil {
		caller += from.Addr().String()
	}
	near := request.URL.Query().Get("data_centre")
	answer := wireAddresses{Entries: []wireAddress{}, TTL: int(e.settings.AddressTTL().Seconds())}
	for _, m := range e.follower.memberList() {
		if m.Leaving() || !rules.DataCentreInService(m.DataCentre()) {
			continue
		}
		answer.Entries = append(answer.Entries, wireAddress{Address: m.ClientAddress(), DataCentre: m.DataCentre()})
	}
	slices.SortFunc(answer.Entries, func(a, b wireAddress) int {
		if a.DataCentre != b.DataCentre && (a.DataCentre == near || b.DataCentre == near) {
			return cmp.Compare(boolRank(a.DataCentre == near), boolRank(b.DataCentre == near))
		}
		return cmp.Compare(spread(caller, a.Address), spread(caller, b.Address))
	})
	admin.ReplyJSON(exchange, http.StatusOK, answer)
}

// boolRank puts true before false.
func boolRank(b bool) int {
	if b {
		return 0
	}
	return 1
}

func spread(caller, address string) uint64 { return xxhash.Sum64String(caller + "\x00" + address) }

// wireModel is a model as GET /v1/models lists it.
type wireModel struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// wireModels is the answer to GET /v1/models.
type wireModels struct {
	Object string      `json:"object"`
	Data   []wireModel `json:"data"`
}

// serveModels lists the models that the caller's team may use.
func (e *Entry) serveModels(exchange *webio.Exchange) {
	rules, team, refusal := e.identify(exchange.Request())
	if refusal != nil {
		e.refuse(exchange, refusal)
		return
	}
	answer := wireModels{Object: "list", Data: []wireModel{}}
	for _, model := range rules.Config().Models() {
		if rules.MayUse(team, model.Service()) {
			answer.Data = append(answer.Data, wireModel{ID: model.Name(), Object: "model", OwnedBy: "lentilstand"})
		}
	}
	admin.ReplyJSON(exchange, http.StatusOK, answer)
}

// identify finds the caller's team by its API key.
func (e *Entry) identify(request *http.Request) (*route.Rules, config.Team, *apierr.Error) {
	rules := e.follower.currentRules()
	if rules == nil {
		return nil, config.Team{}, errNoConfiguration()
	}
	key, ok := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, config.Team{}, apierr.New(http.StatusUnauthorized, "missing_api_key",
			"the header Authorization must hold a team's API key as a bearer token")
	}
	sum := sha256.Sum256([]byte(key))
	team, ok := rules.TeamByKey(hex.EncodeToString(sum[:]))
	if !ok {
		return nil, config.Team{}, apierr.New(http.StatusUnauthorized, "unknown_team", "no team has this API key")
	}
	return rules, team, nil
}

// wireChat is the part of a chat request that routing looks at.
type wireChat struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

// prompt returns the beginning of the prompt as engines see it, empty if a
// message isn't plain text.
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

// prefixBytes is how much of a first message makes requests share a cache.
const prefixBytes = 256

// prefix returns a digest of what requests with the same beginning have in
// common. It is kept for audits, so it holds nothing of what callers wrote.
func (c wireChat) prefix() string {
	if len(c.Messages) == 0 {
		return ""
	}
	content := c.Messages[0].Content
	return strconv.FormatUint(xxhash.Sum64(content[:min(len(content), prefixBytes)]), 36)
}

// serveChat answers a chat request.
func (e *Entry) serveChat(exchange *webio.Exchange) {
	rules, team, refusal := e.identify(exchange.Request())
	if refusal != nil {
		e.refuse(exchange, refusal)
		return
	}
	body := exchange.Body()
	var chat wireChat
	if err := json.Unmarshal(body, &chat); err != nil {
		e.refuse(exchange, apierr.New(http.StatusBadRequest, "malformed_json", "the body is no chat request: "+err.Error()))
		return
	}
	if chat.Model == "" {
		e.refuse(exchange, apierr.New(http.StatusBadRequest, "missing_model", "the field model is missing"))
		return
	}
	service, inDoubt, ok := rules.ServiceOfModel(chat.Model)
	if !ok {
		e.refuse(exchange, notFound(inDoubt, "unknown_model", "there is no model "+chat.Model))
		return
	}
	f := newInflight(e, exchange, team, service)
	f.streaming = chat.Stream
	f.body = body
	f.asked = chat.Model
	if prompt := chat.prompt(); prompt != "" {
		f.prefix = hints.HashPrefix(prompt)
	}
	if f.session == "" {
		f.session = chat.prefix()
	}
	f.serve()
}

// servePlain answers a call of a plain service.
func (e *Entry) servePlain(exchange *webio.Exchange) {
	rules, team, refusal := e.identify(exchange.Request())
	if refusal != nil {
		e.refuse(exchange, refusal)
		return
	}
	service, inDoubt, ok := rules.ServiceOfPath(exchange.Request().URL.Path)
	if !ok {
		e.refuse(exchange, notFound(inDoubt, "unknown_path", "there is nothing at this path"))
		return
	}
	f := newInflight(e, exchange, team, service)
	f.body = exchange.Body()
	f.serve()
}

// notFound refuses what the configuration doesn't have, or what the version in
// force and the staged one don't agree on.
func notFound(inDoubt bool, code, message string) *apierr.Error {
	if inDoubt {
		return apierr.New(http.StatusServiceUnavailable, "configuration_changing",
			"the configuration is being changed here; try again", apierr.WithRetryAfter(retrySoon))
	}
	return apierr.New(http.StatusNotFound, code, message)
}
