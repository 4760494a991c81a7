package bulrushnode

import (
	"bulrushchute.example/bulrushchute/bulrushcatalogue"
)

// callerIdentity is what the API key of a request says about its caller.
type callerIdentity struct {
	// keysRequired is set if the routing table requires API keys.
	keysRequired bool
	// tenant has the key, nil for an anonymous caller.
	tenant *bulrushcatalogue.TenantEntry
	digest bulrushcatalogue.KeyDigest
}

// identifyCaller finds the tenant of a request. It returns false if the request
// needs an API key and has none that is known.
func identifyCaller(routing bulrushcatalogue.Routing, policy bulrushcatalogue.RequestPolicy, key string) (callerIdentity, bool) {
	if !routing.RequiresKeys() {
		return callerIdentity{}, true
	}
	identity := callerIdentity{keysRequired: true}
	if key != "" {
		identity.digest = bulrushcatalogue.DigestKey(key)
		identity.tenant = routing.Tenant(identity.digest)
	}
	return identity, identity.tenant != nil || policy.Anonymous
}

// allowed reports whether a routing table still has the caller's key for the same
// tenant. A table may have come into force while the request waited.
func (ci callerIdentity) allowed(routing bulrushcatalogue.Routing) bool {
	if ci.tenant == nil || !routing.RequiresKeys() {
		return true
	}
	current := routing.Tenant(ci.digest)
	return current == ci.tenant || current != nil && current.Tenant == ci.tenant.Tenant
}

// notForwarded returns the check for headers that are not passed on to the
// backend server.
func (eh *entryHandler) notForwarded(caller callerIdentity) func(name string) bool {
	if !caller.keysRequired {
		return eh.protocol.Reserved
	}
	return func(name string) bool {
		return eh.protocol.Reserved(name) || eh.protocol.IdentifiesTenant(name)
	}
}

// apiKeyError reports a request without an API key that the routing table has. It
// does not contain the key.
type apiKeyError struct {
	missing bool
}

// Error implements error.
func (e *apiKeyError) Error() string {
	if e.missing {
		return "the request has no API key"
	}
	return "the API key is unknown"
}
