package event

import "go.uber.org/zap/zapcore"

// Short names for the levels keep the catalogue readable.
const (
	debug  = zapcore.DebugLevel
	info   = zapcore.InfoLevel
	warn   = zapcore.WarnLevel
	failed = zapcore.ErrorLevel
)

// Events of processes.
var (
	ProcessStarted   = define(1001, "process_started", info, "The process listens on its addresses.")
	ProcessLeaving   = define(1002, "process_leaving", info, "The process was asked to stop and withdraws; it goes on with what runs.")
	ProcessStopped   = define(1003, "process_stopped", info, "The process has stopped; nothing was left running.")
	ProcessCutOff    = define(1004, "process_cut_off", warn, "The bound of a graceful stop has passed; `left` requests were cut off.")
	ListenFailed     = define(1005, "listen_failed", failed, "The process can't listen on one of its addresses.")
	LinesLost        = define(1009, "lines_lost", warn, "The log couldn't be written fast enough; `left_out` lines are missing here.")
	SettingsReloaded = define(1007, "settings_reloaded", info, "The settings file was read again and its settings are in use.")
	SettingsRefused  = define(1008, "settings_refused", warn, "The settings file was read again and has faults; the settings before it stay in use.")
	HandlerPanicked  = define(1006, "handler_panicked", failed, "Answering a request panicked; the request got a 500.")
)

// Events of callers and requests.
var (
	RequestRefused   = define(2001, "request_refused", info, "A request was refused; `code` tells why and `outcome` whether it may have run.")
	RequestServed    = define(2002, "request_served", debug, "A request got its whole answer.")
	RequestMalformed = define(2003, "request_malformed", info, "The bytes on a connection were no HTTP request; the connection was closed.")
	RequestTooLarge  = define(2004, "request_too_large", info, "The header or the body of a request was above its bound.")
	CallerGone       = define(2005, "caller_gone", info, "The caller closed its connection; its request was cancelled.")
	CallerStalled    = define(2006, "caller_stalled", warn, "A caller took nothing of its answer for too long and was cut off.")
	StreamBroken     = define(2007, "stream_broken", warn, "An answer ended before its end; the caller got an error in place of a clean end.")
	AttemptFailed    = define(2008, "attempt_failed", info, "An attempt at a request failed; `outcome` tells whether it may have run.")
	OutcomeUnknown   = define(2009, "outcome_unknown", warn, "It isn't known whether a request has run; the caller was told so.")
	RequestIsolated  = define(2011, "request_isolated", warn, "An endpoint died while it ran a request; the request runs alone from now on, or is refused if it did.")
	StreamParked     = define(2012, "stream_parked", info, "Slow readers held more than the budget; the stream's work was cancelled and resumes when its reader has caught up.")
	RequestDecided   = define(2013, "request_decided", info, "A request on the platform has ended: `route`, `version` of the table and its `age_ms`, the `attempts` with endpoint and result, `status` and `reason`.")
	RequestsUnlogged = define(2014, "requests_unlogged", warn, "More requests ended than the log may hold; `left_out` were not logged one by one since the last such entry.")
	RetryDenied      = define(2015, "retry_denied", warn, "A request wasn't sent again, since the budget of retries is used up.")
	ClaimUnsettled   = define(2010, "claim_unsettled", warn, "The outcome of a claimed request couldn't be written to the key-value service.")
)

// Events of connections between processes.
var (
	SessionOpened     = define(3001, "session_opened", info, "A session to another process is open.")
	SessionClosed     = define(3002, "session_closed", info, "A session to another process has ended.")
	SessionSilent     = define(3003, "session_silent", warn, "A session had no heartbeat within its bound and was left.")
	SessionRefused    = define(3004, "session_refused", warn, "Bytes on the internal port were not ours; the session was closed.")
	SessionDialFailed = define(3005, "session_dial_failed", debug, "A session to another process couldn't be opened; it is tried again.")
	DatagramRefused   = define(3007, "datagram_refused", warn, "A datagram was no message of ours.")
	DatagramUnsent    = define(3008, "datagram_unsent", debug, "A datagram couldn't be sent; it counts as lost.")
	AgentHeard        = define(3009, "agent_heard", info, "An endpoint's agent reports on it.")
	AgentSilent       = define(3010, "agent_silent", warn, "An endpoint's agent has sent no report within its bound.")
	FrameRefused      = define(3006, "frame_refused", warn, "A frame was malformed, too large or out of place; its stream was closed.")
)

// Events of endpoints.
var (
	EndpointCold     = define(4001, "endpoint_cold", warn, "The endpoint started anew or turned cold; its capacity opens again with completed work.")
	EndpointReady    = define(4002, "endpoint_ready", info, "The endpoint takes requests.")
	EndpointNotReady = define(4003, "endpoint_not_ready", warn, "The endpoint can't be reached or isn't ready; it gets no requests.")
	EndpointAdded    = define(4005, "endpoint_added", info, "An endpoint is registered.")
	EndpointRemoved  = define(4006, "endpoint_removed", info, "An endpoint is registered no more.")
	EndpointShunned  = define(4007, "endpoint_shunned", warn, "An endpoint fails requests or answers none; it gets few until it serves again.")
	EndpointTrusted  = define(4008, "endpoint_trusted", info, "An endpoint that was shunned serves again.")
	EndpointLeaving  = define(4004, "endpoint_leaving", info, "The endpoint leaves; it gets no new requests.")
)

// Events of the configuration and the key-value service.
var (
	VersionAdopted   = define(5001, "version_adopted", info, "The process obeys a newer version of the configuration.")
	VersionStale     = define(5002, "version_stale", warn, "The process can't show that its version is current and takes no new work.")
	VersionFresh     = define(5003, "version_fresh", info, "The process can show again that its version is current.")
	VersionWentBack  = define(5004, "version_went_back", failed, "The key-value service showed an older head than before; it was not obeyed.")
	VersionUnusable  = define(5005, "version_unusable", failed, "A version in the key-value service can't be read or breaks the hash chain.")
	StoreUnreachable = define(5006, "store_unreachable", warn, "The key-value service doesn't answer.")
	StoreReachable   = define(5007, "store_reachable", info, "The key-value service answers again.")
	VersionPending   = define(5008, "version_pending", info, "A version is staged; the process obeys it together with the one in force.")
	TableAdopted     = define(5010, "table_adopted", info, "The process obeys a newer routing table of the platform's store; `source` tells how it was learned.")
	PictureTaken     = define(5011, "picture_taken", info, "The whole picture was read anew from `source`, since changes may have been missed.")
	ItemUnreadable   = define(5012, "item_unreadable", warn, "An item of the store can't be read; it is left out.")
	EvacuationBegun  = define(5013, "evacuation_begun", info, "Nothing more is sent to the endpoints of a data centre.")
	EvacuationEnded  = define(5014, "evacuation_ended", info, "The endpoints of a data centre take requests again.")
	WatchBehind      = define(5015, "watch_behind", warn, "A peer has read a newer revision of the store than the watch has shown.")
	VersionDropped   = define(5009, "version_dropped", info, "A staged version was rejected.")
)

// Events of membership.
var (
	MemberJoined   = define(6001, "member_joined", info, "The process is registered as a member.")
	MemberLost     = define(6002, "member_lost", warn, "The process's lease lapsed; it joins anew.")
	PeerUnreadable = define(6003, "peer_unreadable", warn, "The entry of a member in the key-value service can't be read.")
)

// Events of rank groups.
var (
	GroupLed        = define(7001, "group_led", info, "This agent leads its group of ranks.")
	GroupYielded    = define(7002, "group_yielded", info, "Another agent leads the group.")
	GroupFormed     = define(7003, "group_formed", info, "The group has formed in a new epoch, with the map that all ranks start with.")
	SwitchPlanned   = define(7004, "switch_planned", info, "A new map of experts is worth its copies: `skew` is the fullest rank's load over the mean, `expected` what it will be.")
	SwitchArmed     = define(7005, "switch_armed", debug, "All ranks switch to a map as one pass begins.")
	SwitchDone      = define(7006, "switch_done", info, "All ranks use the new map.")
	SwitchAbandoned = define(7007, "switch_abandoned", warn, "A switch of maps was given up; all ranks keep the map they use.")
	HoldResolved    = define(7008, "hold_resolved", warn, "A hold or an armed map that no switch accounts for was brought to its end.")
	RankUnreachable = define(7009, "rank_unreachable", warn, "The replica on this host doesn't answer its agent.")
	RankReachable   = define(7010, "rank_reachable", info, "The replica on this host answers its agent.")
	RankOrdered     = define(7012, "rank_ordered", info, "The leader gave an order straight to a rank whose agent is silent.")
	OrderUnanswered = define(7011, "order_unanswered", info, "An order to the replica on this host got no answer; it may be carried out late.")
	OrderRefused    = define(7013, "order_refused", info, "The replica on this host refused an order, which doesn't fit its state any more.")
)

// Events of audits.
var (
	RecordsHeld = define(8001, "records_held", warn, "Records for audits can't be written now; they are held and tried again.")
	RecordsLost = define(8002, "records_lost", failed, "The process stopped before its last records were written; an audit shows a gap.")
)
