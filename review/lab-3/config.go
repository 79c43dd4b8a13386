package main

import "fmt"

// Parts of the operator's configuration, as on the pages.
const (
	clientLimits = `"limits":{"header-bytes":16384,"body-bytes":4194304,"header-timeout-ms":2000,"idle-timeout-ms":10000}`
	oneTenant    = `"tenants":[{"name":"t","api-keys":["key1"],"unit":"tokens","plain-tokens":200,"rate-per-s":1000000,"burst":1000000}]`
	noTenant     = `"tenants":[]`
	engines      = `"services":[{"name":"llm","max-conns":720,"health-path":"/health","engine":{"slots":%d,"kv-tokens":616741,"stride":6}}]`
	plainService = `"services":[{"name":"desk","max-conns":200,"health-path":"/health"}]`
)

// publishEngines publishes a configuration with one route to model engines.
func (l *lab) publishEngines(slots int, route string) {
	l.store.Put("keyed.op", "config", fmt.Appendf(nil, `{"version":1,"routes":[%s],%s,%s,%s}`, route, fmt.Sprintf(engines, slots), clientLimits, oneTenant))
}

// publishPlain publishes the next version of a configuration with one route to a plain service.
func (l *lab) publishPlain(route, tenants string) {
	l.version++
	l.store.Put("keyed.op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[%s],%s,%s,%s}`, l.version, route, plainService, clientLimits, tenants))
}

// promptHeaders returns the headers of a request to a model engine.
func promptHeaders(promptTokens, answerTokens int, parts string) map[string]string {
	return map[string]string{
		"Authorization": "Token key1", "Medlarhold-Model": "m", "Medlarhold-Token-Usage": fmt.Sprintf("%d,%d", promptTokens, answerTokens),
		"Medlarhold-Prefix-Hash": parts,
	}
}
