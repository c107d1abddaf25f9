package event

import "go.uber.org/zap/zapcore"

// Aliases of the levels for the tables of events below.
const (
	debugLevel = zapcore.DebugLevel
	infoLevel  = zapcore.InfoLevel
	warnLevel  = zapcore.WarnLevel
	errorLevel = zapcore.ErrorLevel
)

// Events of processes.
var (
	ProcessStarted   = register(1001, "process_started", infoLevel, "The process listens on its addresses.")
	ProcessLeaving   = register(1002, "process_leaving", infoLevel, "The process was asked to stop: it refuses new work and finishes running work.")
	ProcessStopped   = register(1003, "process_stopped", infoLevel, "The process has stopped; no work was left running.")
	ProcessCutOff    = register(1004, "process_cut_off", warnLevel, "The timeout of a graceful stop has passed; `left` requests were cut off.")
	ListenFailed     = register(1005, "listen_failed", errorLevel, "The process cannot listen on one of its addresses.")
	LinesLost        = register(1009, "lines_lost", warnLevel, "The log could not be written fast enough; `left_out` lines are missing here.")
	SettingsReloaded = register(1007, "settings_reloaded", infoLevel, "The settings file was reloaded and its settings are in use.")
	SettingsRefused  = register(1008, "settings_refused", warnLevel, "The settings file was reloaded and has errors; the previous settings stay in use.")
	AccountCorrected = register(1010, "account_corrected", errorLevel, "The account of memory had a negative sum, which is a bug; it was set to zero.")
	HandlerPanicked  = register(1006, "handler_panicked", errorLevel, "Handling a request panicked; the caller got status 500.")
)

// Events of callers and requests.
var (
	RequestRefused   = register(2001, "request_refused", infoLevel, "A request was refused; `code` tells why and `outcome` whether it may have run.")
	RequestServed    = register(2002, "request_served", debugLevel, "A request got its complete response.")
	RequestMalformed = register(2003, "request_malformed", infoLevel, "The bytes on a connection were not an HTTP request; the connection was closed. `count` is the number of such connections since the last such entry.")
	RequestTooLarge  = register(2004, "request_too_large", infoLevel, "The header or the body of a request exceeded its size limit; `reason` tells which, and `count` how many requests did so since the last such entry.")
	CallerGone       = register(2005, "caller_gone", infoLevel, "The caller closed its connection; its request was cancelled.")
	CallerStalled    = register(2006, "caller_stalled", warnLevel, "A caller did not read its response for too long and was cut off.")
	StreamBroken     = register(2007, "stream_broken", warnLevel, "A response ended early; the caller got an error instead of a clean end.")
	AttemptFailed    = register(2008, "attempt_failed", infoLevel, "An attempt at a request failed; `outcome` tells whether it may have run.")
	OutcomeUnknown   = register(2009, "outcome_unknown", warnLevel, "It is unknown whether a request has run; the caller was told so.")
	RequestIsolated  = register(2011, "request_isolated", warnLevel, "An endpoint died while it ran a request; from now on the request runs only exclusively, or is refused if it did.")
	StreamParked     = register(2012, "stream_parked", infoLevel, "Responses buffered for slow readers exceeded the budget; the stream's work was cancelled and resumes when its reader has caught up.")
	RequestDecided   = register(2013, "request_decided", infoLevel, "A request on the platform has ended: `route`, `version` of the table and its `age_ms`, the `attempts` with endpoint and result, `status` and `reason`.")
	RequestsUnlogged = register(2014, "requests_unlogged", warnLevel, "More requests ended than may be logged; `left_out` requests were not logged individually since the last such entry.")
	RetryDenied      = register(2015, "retry_denied", warnLevel, "A request was not retried because the retry budget is exhausted.")
	PartSuspected    = register(2016, "part_suspected", warnLevel, "An endpoint crashed before it began to answer a request; the shared `parts` of its prompt are suspect.")
	PartBlocked      = register(2017, "part_blocked", warnLevel, "Requests with a part of a prompt are refused, since endpoints crashed on it `crashes` times without an answer.")
	PartProbed       = register(2019, "part_probed", infoLevel, "A request is sent though endpoints crashed on requests with a part of its prompt, to learn whether that part is the cause; others wait for the outcome.")
	RequestSuspected = register(2020, "request_suspected", warnLevel, "An endpoint crashed while it held a request, or may have; `crashes` is the number of such endpoints that are known by now, and `finding` what was learned about the last one.")
	RequestCleared   = register(2021, "request_cleared", infoLevel, "A request at which `crashes` endpoints had crashed ran to completion, so that these crashes don't count any more.")
	ClientsLimited   = register(2023, "clients_limited", warnLevel, "Clients, endpoints or peers were refused or cut off; `reason` names the limit and `count` how many there were since the last such entry.")
	PartCleared      = register(2018, "part_cleared", infoLevel, "Requests with a part of a prompt are no longer refused.")
	RequestHeldBack  = register(2022, "request_held_back", infoLevel, "A request was queued or refused though an endpoint may have room; `cause` is `level` (the entries admit only more urgent requests), `reserve` (the free slots are kept for those) or `pass` (the predicted pass is too long), and the other fields are the inputs. `left_out` requests were not logged individually.")
	ClaimUnsettled   = register(2010, "claim_unsettled", warnLevel, "The outcome of a claimed request could not be written to the key-value service.")
)

// Events of connections between processes.
var (
	SessionOpened     = register(3001, "session_opened", infoLevel, "A session to another process was opened.")
	SessionClosed     = register(3002, "session_closed", infoLevel, "A session to another process has ended.")
	SessionSilent     = register(3003, "session_silent", warnLevel, "A session had no heartbeat within its timeout and was abandoned.")
	SessionRefused    = register(3004, "session_refused", warnLevel, "Bytes on the internal port did not follow the protocol; the session was closed.")
	SessionDialFailed = register(3005, "session_dial_failed", debugLevel, "A session to another process could not be opened; it is retried.")
	DatagramRefused   = register(3007, "datagram_refused", warnLevel, "A datagram was not a valid message.")
	DatagramUnsent    = register(3008, "datagram_unsent", debugLevel, "A datagram could not be sent; it counts as lost.")
	AgentHeard        = register(3009, "agent_heard", infoLevel, "An endpoint's agent has started to report.")
	AgentSilent       = register(3010, "agent_silent", warnLevel, "An endpoint's agent has sent no report within its timeout.")
	FrameRefused      = register(3006, "frame_refused", warnLevel, "A frame was malformed, too large or unexpected; its stream was closed.")
)

// Events of endpoints.
var (
	EndpointCold       = register(4001, "endpoint_cold", warnLevel, "The endpoint restarted or became cold; its capacity is raised again as requests complete.")
	EndpointReady      = register(4002, "endpoint_ready", infoLevel, "The endpoint accepts requests.")
	EndpointNotReady   = register(4003, "endpoint_not_ready", warnLevel, "The endpoint is unreachable or not ready; it gets no requests.")
	EndpointAdded      = register(4005, "endpoint_added", infoLevel, "An endpoint was registered.")
	EndpointRemoved    = register(4006, "endpoint_removed", infoLevel, "An endpoint is no longer registered.")
	EndpointShunned    = register(4007, "endpoint_shunned", warnLevel, "An endpoint fails requests or does not respond; it gets few requests until it serves them again.")
	EndpointTrusted    = register(4008, "endpoint_trusted", infoLevel, "An endpoint that got few requests after failures serves requests again.")
	EndpointPaused     = register(4009, "endpoint_paused", infoLevel, "An endpoint turned a request away and wants no more for the time `pause`.")
	EndpointLimited    = register(4010, "endpoint_limited", infoLevel, "An endpoint takes no more than `per_second` requests a second from all entries; this entry sends it one each `interval`.")
	EndpointUnlimited  = register(4011, "endpoint_unlimited", infoLevel, "An endpoint no longer limits the rate of requests.")
	EndpointIgnored    = register(4012, "endpoint_ignored", infoLevel, "An endpoint in the store is not used; `reason` tells why.")
	RankExcluded       = register(4020, "rank_excluded", warnLevel, "A rank of a group is slow and gets no requests while others have free slots; `relative_pace` is its pace relative to the slowest rank that is used.")
	RankReadmitted     = register(4021, "rank_readmitted", infoLevel, "A rank that was excluded gets requests again, one more at a time.")
	EndpointRamp       = register(4022, "endpoint_ramp", infoLevel, "An endpoint of a plain service has started or recovered, or refuses requests; `entries` entries begin with `per_second` requests a second in all and raise that as it answers.")
	EndpointAtFullPace = register(4023, "endpoint_at_full_pace", infoLevel, "The rate of a started or recovered endpoint is no longer limited by this entry; `own_per_second` was its limit.")
	OutageBegan        = register(4024, "outage_began", warnLevel, "No endpoint of the service takes requests; it is expected to end after `expected`.")
	OutageEnded        = register(4025, "outage_ended", infoLevel, "Endpoints of the service take requests again, after `lasted`.")
	RetriesSpread      = register(4026, "retries_spread", infoLevel, "Callers of refused requests were told when to retry since the last such entry: `booked` of them a time at which a slot is expected, `unbooked` one towards the end of the time that they wait, `repeated` one after that of the same request. The rates that decided are `full_per_second`, `new_per_second` and `spare_per_second`, of this entry.")
	EndpointLeaving    = register(4004, "endpoint_leaving", infoLevel, "The endpoint is leaving; it gets no new requests.")
)

// Events of the configuration and the key-value service.
var (
	VersionAdopted   = register(5001, "version_adopted", infoLevel, "The process uses a newer version of the configuration.")
	VersionStale     = register(5002, "version_stale", warnLevel, "The process cannot prove that its version is current and accepts no new work.")
	VersionFresh     = register(5003, "version_fresh", infoLevel, "The process can prove again that its version is current.")
	VersionWentBack  = register(5004, "version_went_back", errorLevel, "The key-value service returned an older head than before; it was ignored. On the platform `call` tells which call showed it, and `era` the newest era that the store has named.")
	VersionUnusable  = register(5005, "version_unusable", errorLevel, "A version in the key-value service cannot be decoded or breaks the hash chain.")
	StoreUnreachable = register(5006, "store_unreachable", warnLevel, "The key-value service does not respond.")
	StoreReachable   = register(5007, "store_reachable", infoLevel, "The key-value service responds again.")
	VersionPending   = register(5008, "version_pending", infoLevel, "A version is staged; the process applies it together with the version in force.")
	TableAdopted     = register(5010, "table_adopted", infoLevel, "The process uses a newer routing table of the platform's store; `source` tells how it was received.")
	PictureTaken     = register(5011, "picture_taken", infoLevel, "The full state was read again from `source` because changes may have been missed.")
	ItemUnreadable   = register(5012, "item_unreadable", warnLevel, "An item of the store cannot be decoded; it is left out.")
	EvacuationBegun  = register(5013, "evacuation_begun", infoLevel, "No more requests are sent to the endpoints of a data centre.")
	EvacuationEnded  = register(5014, "evacuation_ended", infoLevel, "The endpoints of a data centre get requests again.")
	WatchBehind      = register(5015, "watch_behind", warnLevel, "A peer has read a newer revision of the store than the watch has delivered.")
	DemandStored     = register(5016, "demand_stored", debugLevel, "The demand for the experts of a service was written to the store, for its leader to plan by when the group opens again.")
	DemandUnstored   = register(5017, "demand_unstored", infoLevel, "The demand for the experts of a service could not be written to the store; the next one follows.")
	StoreAsked       = register(5018, "store_asked", infoLevel, "The entry asked the store itself, since the newest evidence that its view is current was `age_ms` old; `result` tells what the answer showed.")
	StoreEraChanged  = register(5019, "store_era_changed", warnLevel, "The store's answer to `call` names another era, `shown`, than the one before; `known` is the newest so far. A higher era means that the store came back from a copy, and a lower, unreadable or missing one is ignored.")
	HistoryMissing   = register(5020, "history_missing", infoLevel, "The store doesn't have the history after `revision` any more, or not in this era; everything is read again.")
	LostStateHeld    = register(5021, "lost_state_held", warnLevel, "The store has recovered from a copy that lacks `count` keys, or has them in an older form; the last known form stays in use until it is written again, or for a limited time. `keys` names some of them; a count of zero means that none is left.")
	LostStateLearned = register(5022, "lost_state_learned", infoLevel, "The entry has learned from `peer` what the store has lost by a recovery from a copy.")
	VersionRestored  = register(5025, "version_restored", warnLevel, "The key-value service has recovered from a copy that lacks the version in force or a staged one; the entry writes them again.")
	VersionDropped   = register(5009, "version_dropped", infoLevel, "A staged version was rejected.")
)

// Events of membership.
var (
	MemberJoined   = register(6001, "member_joined", infoLevel, "The process is registered as a member.")
	MemberLost     = register(6002, "member_lost", warnLevel, "The lease of the process expired, or its key has gone; it registers again.")
	PeerUnreadable = register(6003, "peer_unreadable", warnLevel, "The entry of a member in the key-value service cannot be decoded.")
)

// Events of rank groups.
var (
	GroupLed        = register(7001, "group_led", infoLevel, "This agent is the leader of its group of ranks.")
	GroupYielded    = register(7002, "group_yielded", infoLevel, "Another agent is the leader of the group.")
	GroupFormed     = register(7003, "group_formed", infoLevel, "The group has formed in a new epoch, with the expert map with which all ranks start.")
	SwitchPlanned   = register(7004, "switch_planned", infoLevel, "A new expert map is worth its copies: `skew` is the highest load of a rank over the mean, `expected` the same under the new map. With `stored_demand`, the demand that was stored before the group opened was used along with the counts.")
	SwitchArmed     = register(7005, "switch_armed", debugLevel, "All ranks are armed to switch to an expert map at the start of the same pass.")
	SwitchDone      = register(7006, "switch_done", infoLevel, "All ranks use the new expert map.")
	SwitchAbandoned = register(7007, "switch_abandoned", warnLevel, "A switch of expert maps was abandoned; all ranks keep their current map. `switch` is the version of its map, `version` that of the last order to prepare, which a fence makes a newer one.")
	HoldResolved    = register(7008, "hold_resolved", warnLevel, "A hold or an armed expert map that belongs to no known switch was resolved.")
	RankUnreachable = register(7009, "rank_unreachable", warnLevel, "The replica on this host does not respond to its agent.")
	RankReachable   = register(7010, "rank_reachable", infoLevel, "The replica on this host responds to its agent.")
	RankOrdered     = register(7012, "rank_ordered", infoLevel, "The leader sent an order directly to a rank whose agent is silent.")
	OrderUnanswered = register(7011, "order_unanswered", infoLevel, "An order to the replica on this host got no response; it may still be carried out.")
	DemandRefused   = register(7014, "demand_refused", warnLevel, "A demand for experts cannot be decoded or has other sets or experts than the configuration; it is ignored.")
	DemandLearned   = register(7015, "demand_learned", debugLevel, "The agent was sent the stored demand for experts.")
	OrderRefused    = register(7013, "order_refused", infoLevel, "The replica on this host refused an order that no longer fits its state.")
)

// Events of audits.
var (
	RecordsHeld = register(8001, "records_held", warnLevel, "Audit records cannot be written now; they are kept and retried.")
	RecordsLost = register(8002, "records_lost", errorLevel, "The process stopped before its last audit records were written; an audit shows a gap.")
)
