package telemetry

import "github.com/go-logr/logr"

// Event is one numbered kind of log line. The number of a removed event is never
// reused.
type Event struct {
	// ID is the event's number: 1xxx life cycle, 2xxx requests, 3xxx peers and
	// membership, 4xxx platform, 5xxx configuration, 6xxx endpoints and orders,
	// 7xxx security and bad input.
	ID int
	// Message is the human-readable text of the line.
	Message string
	// Verbosity is the logr level: 0 is always logged, 1 only at a higher
	// verbosity of the logger.
	Verbosity int
}

// The catalogue of events. docs/EVENTS.md lists the same events; a test compares
// the two.
var (
	EventStarting             = Event{1001, "instance starting", 0}
	EventReady                = Event{1002, "instance ready", 0}
	EventDrainBegin           = Event{1003, "planned stop begun", 0}
	EventDrainEnd             = Event{1004, "planned stop ended, nothing in flight", 0}
	EventDrainTimeout         = Event{1005, "planned stop ran out of time, requests were cut", 0}
	EventSecondSignal         = Event{1006, "second stop signal, exiting at once", 0}
	EventServerFailed         = Event{1007, "listener failed", 0}
	EventLogLinesDropped      = Event{1008, "log lines dropped, their reader was slow", 0}
	EventRequestFinished      = Event{2001, "request finished", 1}
	EventRequestRetried       = Event{2002, "request tried again after verdict not run", 1}
	EventRequestPanicked      = Event{2003, "request handler failed", 0}
	EventCallEnded            = Event{2004, "call on a transparent route ended", 0}
	EventCallDenied           = Event{2005, "broker refused a request", 0}
	EventPeerConnected        = Event{3001, "peer connected", 1}
	EventPeerDisconnected     = Event{3002, "peer connection lost", 0}
	EventPeerUnresponsive     = Event{3003, "peer connection made no progress and was closed", 0}
	EventPeerRefused          = Event{3004, "peer refused: wrong key or bad hello", 0}
	EventMembersChanged       = Event{3005, "members changed", 0}
	EventOwnershipChanged     = Event{3006, "endpoints gained or lost", 0}
	EventBrokerChanged        = Event{3007, "another instance grants the slots of a pool", 0}
	EventReaderChanged        = Event{3008, "this instance begins or ends reading the store for itself", 0}
	EventBrokerUnresponsive   = Event{3009, "broker is silent, this instance grants its own part of the slots", 0}
	EventEligibilityChanged   = Event{3010, "this instance gives its roles up, or may have them again", 0}
	EventCoordinatorChanged   = Event{3011, "another instance coordinates the zone", 0}
	EventLogUnavailable       = Event{4001, "log service unavailable", 0}
	EventLogRestored          = Event{4002, "log service back", 0}
	EventListUnavailable      = Event{4003, "instance list unavailable", 0}
	EventAppendUnknown        = Event{4004, "outcome of an append unknown, settling by reading", 0}
	EventStoreReplaced        = Event{4005, "store came back from an older copy, all is read again", 0}
	EventStoreSettled         = Event{4006, "store shows the newest configuration again", 0}
	EventStoreSlow            = Event{4007, "store took long to answer a read", 0}
	EventConfigApplied        = Event{5001, "configuration change in force", 0}
	EventConfigRejected       = Event{5002, "configuration change lost or invalid", 0}
	EventConfigCaughtUp       = Event{5003, "configuration caught up", 0}
	EventConfigSnapshot       = Event{5004, "configuration snapshot appended", 0}
	EventConfigFromPeer       = Event{5005, "configuration taken from a peer", 0}
	EventConfigLagging        = Event{5006, "a newer configuration is known than the one in force", 0}
	EventConfigSentAgain      = Event{5007, "configuration sent again to an instance that lacks it", 0}
	EventEndpointFailed       = Event{6001, "endpoint failed", 0}
	EventEntryMalformed       = Event{6006, "discovery entry names no endpoint to use", 0}
	EventEndpointsChanged     = Event{6007, "endpoints appeared or left", 0}
	EventEndpointDeparting    = Event{6008, "endpoint said in a response that it is going to stop", 0}
	EventEndpointHeldOff      = Event{6009, "endpoint wants no requests from this instance for a while", 0}
	EventRunLost              = Event{6010, "run lost with its engine, the parts of its prompt are suspected", 0}
	EventPartQuarantined      = Event{6011, "part of prompts crashes engines, requests with it are refused", 0}
	EventPartReleased         = Event{6012, "part of prompts released from quarantine", 0}
	EventPartTried            = Event{6013, "quarantined part is tried with one request", 0}
	EventEndpointLimited      = Event{6014, "endpoint asks for fewer requests: it states a limit, or that it is brittle", 0}
	EventEndpointUnlimited    = Event{6015, "endpoint asks for fewer requests no more", 0}
	EventOriginsNotRecorded   = Event{6016, "origins of streams could not be recorded, tried again", 0}
	EventBaseChosen           = Event{6017, "version that began all streams without a record has changed", 0}
	EventEndpointBypassed     = Event{6018, "endpoint is reached only through another instance", 0}
	EventEndpointReached      = Event{6019, "endpoint is reached directly again", 0}
	EventCutOffChanged        = Event{6020, "this instance is cut off from the endpoints, or no longer", 0}
	EventOriginsRestoring     = Event{6021, "origins of streams are appended again, the store may have lost them", 0}
	EventRolloutHeard         = Event{6100, "order of a roll-out heard", 0}
	EventRolloutRejected      = Event{6101, "order of a roll-out can't be followed", 0}
	EventRolloutStep          = Event{6102, "share of a roll-out's target has changed", 0}
	EventRolloutDone          = Event{6103, "roll-out done", 0}
	EventRolloutRolledBack    = Event{6104, "roll-out went back, its target gets no requests", 0}
	EventRolloutNotSaved      = Event{6105, "word or status of a roll-out could not be saved, tried again", 0}
	EventRolloutStatusWritten = Event{6106, "operators were told the state of a roll-out", 0}
	EventLearnedLimit         = Event{6130, "engine gives no more answers with more requests, it gets fewer than it has slots", 0}
	EventLearnedLimitEnded    = Event{6131, "engine gets as many requests as it has slots again", 0}
	EventSlowdownUnreadable   = Event{6132, "endpoint states a slowdown that can't be read", 0}
	EventOverloadBegun        = Event{6160, "a rank of a pool asks for more than its engines serve, requests that would wait too long are refused", 0}
	EventOverloadEnded        = Event{6161, "a rank of a pool asks for no more than its engines serve again", 0}
	EventCallerLetGo          = Event{6190, "caller let go, it reads its answer too slowly", 0}
	EventLeaseAcquired        = Event{6002, "lease held", 0}
	EventLeaseLost            = Event{6003, "lease given up or lapsed", 0}
	EventOrderSent            = Event{6004, "order sent to endpoint", 0}
	EventOrderRefused         = Event{6005, "order refused by endpoint", 0}
	EventBadInput             = Event{7001, "bad input refused", 1}
	EventSettingsReloaded     = Event{7002, "keys and certificates reloaded", 0}
	EventSettingsChecked      = Event{7004, "settings file read again, changes take effect at the next start", 0}
	EventSettingsReloadFailed = Event{7003, "keys and certificates could not be reloaded, the old ones stay", 0}
)

// Catalogue returns all events in the order of docs/EVENTS.md.
func Catalogue() []Event {
	return []Event{
		EventStarting, EventReady, EventDrainBegin, EventDrainEnd, EventDrainTimeout, EventSecondSignal, EventServerFailed, EventLogLinesDropped,
		EventRequestFinished, EventRequestRetried, EventRequestPanicked, EventCallEnded, EventCallDenied,
		EventPeerConnected, EventPeerDisconnected, EventPeerUnresponsive, EventPeerRefused, EventMembersChanged, EventOwnershipChanged, EventBrokerChanged, EventReaderChanged, EventBrokerUnresponsive, EventEligibilityChanged, EventCoordinatorChanged,
		EventLogUnavailable, EventLogRestored, EventListUnavailable, EventAppendUnknown, EventStoreReplaced, EventStoreSettled, EventStoreSlow,
		EventConfigApplied, EventConfigRejected, EventConfigCaughtUp, EventConfigSnapshot, EventConfigFromPeer, EventConfigLagging, EventConfigSentAgain,
		EventEndpointFailed, EventLeaseAcquired, EventLeaseLost, EventOrderSent, EventOrderRefused, EventEntryMalformed, EventEndpointsChanged, EventEndpointDeparting, EventEndpointHeldOff,
		EventRunLost, EventPartQuarantined, EventPartReleased, EventPartTried, EventEndpointLimited, EventEndpointUnlimited, EventOriginsNotRecorded, EventBaseChosen, EventEndpointBypassed, EventEndpointReached, EventCutOffChanged, EventOriginsRestoring,
		EventRolloutHeard, EventRolloutRejected, EventRolloutStep, EventRolloutDone, EventRolloutRolledBack, EventRolloutNotSaved, EventRolloutStatusWritten,
		EventLearnedLimit, EventLearnedLimitEnded, EventSlowdownUnreadable,
		EventOverloadBegun, EventOverloadEnded,
		EventCallerLetGo,
		EventBadInput, EventSettingsReloaded, EventSettingsReloadFailed, EventSettingsChecked,
	}
}

// MessageOf returns the message of the event with the given number, empty if the catalogue
// has none.
func MessageOf(id int) string {
	for _, e := range Catalogue() {
		if e.ID == id {
			return e.Message
		}
	}
	return ""
}

// Log writes one line for an event, with key/value pairs.
func Log(l logr.Logger, e Event, keysAndValues ...any) {
	l.V(e.Verbosity).Info(e.Message, append([]any{"event", e.ID}, keysAndValues...)...)
}
