package bulrushcatalogue

import (
	"cmp"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"bulrushchute.example/bulrushchute"
)

// TenantEntry is a tenant of the routing table, with the API keys of its callers.
type TenantEntry struct {
	Tenant bulrushchute.Tenant `json:"tenant" validate:"required,max=200"`
	// Rank takes precedence over HostRoute.Rank. Without it, that of the route
	// applies.
	Rank *int `json:"rank,omitempty" validate:"omitempty,min=0,max=1000"`
	// Keys are the digests of the tenant's API keys.
	Keys []KeyDigest `json:"key_digests,omitempty" validate:"max=1000"`
}

// KeyDigest is the SHA-256 digest of an API key. Tables hold digests, so that
// copies of a table on nodes and in messages do not reveal keys.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest {
	return sha256.Sum256([]byte(key))
}

// MarshalText returns the digest in lower-case hexadecimal.
func (kd KeyDigest) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, kd[:]), nil
}

// UnmarshalText parses a digest in hexadecimal. Its error does not contain the
// text, which may be a key by mistake.
func (kd *KeyDigest) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil || len(decoded) != len(kd) {
		return newFieldError("key_digests", fmt.Sprintf("a text of %d characters", len(text)), "SHA-256 digests, 64 hexadecimal digits each")
	}
	copy(kd[:], decoded)
	return nil
}

// Class returns the class of the tenant's requests on a route of the given class.
// A nil tenant is that of an anonymous request.
func (te *TenantEntry) Class(ofRoute bulrushchute.Class) bulrushchute.Class {
	if te == nil || te.Rank == nil {
		return ofRoute
	}
	return classOfRank(*te.Rank)
}

func (rt RoutingTable) checkTenants() error {
	names := newUniqueValues("a tenant that occurs once")
	owners := make(map[KeyDigest]bulrushchute.Tenant)
	for i, tenant := range rt.Tenants {
		path := fmt.Sprintf("tenants[%d]", i)
		if err := names.add(path+".tenant", string(tenant.Tenant)); err != nil {
			return err
		}
		for j, key := range tenant.Keys {
			if owner, taken := owners[key]; taken {
				return newFieldError(fmt.Sprintf("%s.key_digests[%d]", path, j), "a key of tenant "+string(owner), "a key that occurs once")
			}
			owners[key] = tenant.Tenant
		}
	}
	return nil
}

// keyIndex finds the tenant of an API key. Digests are indexed by an HMAC with a
// random secret, so that the time of a lookup reveals nothing about them.
type keyIndex struct {
	secret  [sha256.Size]byte
	tenants map[KeyDigest]*TenantEntry
}

func newKeyIndex(tenants []TenantEntry) *keyIndex {
	index := &keyIndex{tenants: make(map[KeyDigest]*TenantEntry)}
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(index.secret[:])
	for i := range tenants {
		for _, key := range tenants[i].Keys {
			index.tenants[index.mask(key)] = &tenants[i]
		}
	}
	return index
}

func (ki *keyIndex) mask(digest KeyDigest) KeyDigest {
	mac := hmac.New(sha256.New, ki.secret[:])
	_, _ = mac.Write(digest[:])
	return KeyDigest(mac.Sum(nil))
}

// RequiresKeys reports whether requests need an API key, except on anonymous
// routes.
func (r Routing) RequiresKeys() bool {
	return r.keys != nil
}

// Tenant returns the tenant that has an API key, or nil if there is none. The
// entry must not be modified.
func (r Routing) Tenant(key KeyDigest) *TenantEntry {
	if r.keys == nil {
		return nil
	}
	return r.keys.tenants[r.keys.mask(key)]
}

// Tenants returns the tenants of the table, sorted by name. They must not be
// modified.
func (r Routing) Tenants() []TenantEntry {
	return r.tenants
}

func sortedTenants(tenants []TenantEntry) []TenantEntry {
	return slices.SortedFunc(slices.Values(tenants), func(a, b TenantEntry) int {
		return cmp.Compare(a.Tenant, b.Tenant)
	})
}
