package cli

import "github.com/medlarhold/medlarhold/internal/verdict"

// advice says for each reason where to look next.
var advice = map[verdict.Reason]string{
	verdict.ReasonBadRequest:       "The request is malformed: look at what the caller sent.",
	verdict.ReasonBodyTooLarge:     "The body is over the limit of the configuration in force, see its version in the line.",
	verdict.ReasonHeaderTooLarge:   "The header fields are over the limit of the configuration in force.",
	verdict.ReasonRequestTimeout:   "The caller sent its header or body too slowly: look at the caller's network, and at the time limit of the configuration.",
	verdict.ReasonUnauthenticated:  "The key is not in force: events 5001 of the instance say which configuration was, and from whom it came.",
	verdict.ReasonTierNotAllowed:   "The organisation may not use this tier: look at its configuration.",
	verdict.ReasonUnknownModel:     "No pool serves this model: look at the configuration of pools and models.",
	verdict.ReasonUnknownPool:      "No route matches the host and path, or its pool has no entry: look at the routes of the configuration version in the line.",
	verdict.ReasonUnknownRequest:   "No instance knows this request: it ended long ago, or the caller has another id.",
	verdict.ReasonKeyRequired:      "This call needs an idempotency key: the caller must send one.",
	verdict.ReasonKeyReused:        "The idempotency key was used for another call: look at how the caller makes its keys.",
	verdict.ReasonKeyInProgress:    "A call with this idempotency key still runs: its own lines say where.",
	verdict.ReasonKeyExpired:       "The idempotency key is older than what is kept: whether the first call ran can't be said any more.",
	verdict.ReasonRateLimit:        "The organisation is at its limit: medlarhold report shows its calls by second; the limit is in the configuration version of the line.",
	verdict.ReasonConcurrencyLimit: "The organisation runs as many requests at once as it may: look at what of it is running.",
	verdict.ReasonOverload:         "The slots were full: event 2005 of the same request says what waited and ran; medlarhold report shows since when, 6007 whether engines had gone.",
	verdict.ReasonDeadline:         "The time limit of the route or caller ended: held_ms says how much of it was waiting, event 6001 which endpoint took too long.",
	verdict.ReasonNoEndpoint:       "No endpoint of the pool could be used: events 6007 and 6008 say which left, 6001 which failed.",
	verdict.ReasonLogUnavailable:   "The platform's store did not answer: events 4001 and 4002 say from when to when.",
	verdict.ReasonNotReady:         "The instance could not prove that its keys are in force: events 4001 and 4002 with proof_age_ms say for how long the store was away.",
	verdict.ReasonStopping:         "The instance was being stopped: events 1003 to 1005 say when and whether its time was enough.",
	verdict.ReasonOwnerUnreachable: "The instance that decides on this pool could not be reached: events 3002, 3005 and 3009 say since when.",
	verdict.ReasonEndpointRefused:  "The endpoint did not take the request: event 6001 says which, 6009 whether it asked for a pause.",
	verdict.ReasonEndpointFailed:   "The endpoint failed: look for event 6001 of the same endpoint in the logs of all instances at that time.",
	verdict.ReasonConnectionLost:   "The connection to the endpoint was lost: look for event 6001 of the same endpoint, and for 6007, in the logs of all instances.",
	verdict.ReasonAnswerIncomplete: "The answer broke off: look for event 6001 of the same endpoint at that moment; many say that it has crashed.",
	verdict.ReasonAnswerTooLarge:   "The endpoint sent more than an answer may have: medlarhold_endpoint_limits_exceeded_total says which limit; look at the endpoint.",
	verdict.ReasonQuarantined:      "A part of the prompt crashes engines, so no engine gets it: events 6010 say which crashes it was in, 6011 since when it is kept away, 6012 whether it was released.",
	verdict.ReasonCallerGone:       "The caller closed its connection: compare ms with the time that it is willing to wait.",
	verdict.ReasonPreempted:        "A request of a higher tier took the slot: look at what that pool was asked for at that time.",
	verdict.ReasonRetryBudget:      "Too many requests of this service were tried again already: look at why endpoints failed before (event 6001).",
	verdict.ReasonInternal:         "A fault of the program: event 2003 has the error; please report it with the line.",
}
