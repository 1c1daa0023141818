package spec

import (
	"encoding/hex"
	"fmt"
	"strings"
)

// keyHashBytes is the length of a SHA-256 digest.
const keyHashBytes = 32

// tenant checks a tenant's keys, quota and regions.
func (c *checker) tenant(object *Object, tenant *Tenant) {
	if c.required(object, "spec.keys", "give the SHA-256 of at least one key, in hex") && len(tenant.Keys) == 0 && !c.isInvalid(object, "spec.keys") {
		c.report(object, "spec.keys", "spec.keys is empty, so nobody can call for the tenant", "give the SHA-256 of at least one key, in hex")
	}
	for index, key := range tenant.Keys {
		path := fmt.Sprintf("spec.keys[%d]", index)
		if digest, err := hex.DecodeString(key); (err != nil || len(digest) != keyHashBytes) && !c.isInvalid(object, path) {
			// The text may be the key itself, which must not appear in a finding.
			c.report(object, path, "the text is no SHA-256 in hex", "give the 64 hex digits that sha256sum prints for the key, never the key")
		}
	}
	c.quota(object, tenant.Quota)
	c.regions(object, tenant.Regions)
}

func (c *checker) quota(object *Object, quota TenantQuota) {
	requests, tokens := "spec.quota.requestsPerSecond", "spec.quota.tokensPerSecond"
	if !object.isSet("spec.quota") || c.invalidUnder(object, "spec.quota") {
		return
	}
	switch {
	case object.isSet(requests) && object.isSet(tokens):
		c.report(object, tokens, "the quota counts both requests and tokens", "keep one of the two rates")
		return
	case !object.isSet(requests) && !object.isSet(tokens):
		c.report(object, "spec.quota", "the quota has no rate", "give requestsPerSecond or tokensPerSecond, or leave quota out for no bound")
		return
	}
	for path, rate := range map[string]float64{requests: quota.RequestsPerSecond, tokens: quota.TokensPerSecond} {
		if object.isSet(path) && !(rate > 0) {
			c.report(object, path, fmt.Sprintf("%s is %v", path, rate), "give a rate above 0, or leave quota out for no bound")
		}
	}
	if c.required(object, "spec.quota.burst", "give what may come at once beyond the rate, 1 or more") && !(quota.Burst >= 1) {
		c.report(object, "spec.quota.burst", fmt.Sprintf("spec.quota.burst is %v", quota.Burst), "give 1 or more: it is what may come at once")
	}
}

// uniqueKeys reports keys that belong to two tenants or are listed twice.
func (c *checker) uniqueKeys() {
	first := make(map[string]Position)
	for _, object := range c.index.ofKind(KindTenant) {
		for index, text := range object.Spec.(*Tenant).Keys {
			path, key := fmt.Sprintf("spec.keys[%d]", index), strings.ToLower(text)
			if earlier, found := first[key]; found && key != "" {
				c.report(object, path, "the key belongs to two tenants, or stands twice", fmt.Sprintf("keep one; the other is at %s", earlier))
				continue
			}
			first[key] = object.Place(path)
		}
	}
}
