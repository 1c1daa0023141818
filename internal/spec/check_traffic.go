package spec

import (
	"fmt"
	"slices"
	"strings"
)

func (c *checker) service(object *Object, service *Service) {
	if c.required(object, "spec.pathPrefix", "give a prefix such as /turbines/") && !c.isInvalid(object, "spec.pathPrefix") {
		switch {
		case !prefixPattern.MatchString(service.PathPrefix):
			c.report(object, "spec.pathPrefix", fmt.Sprintf("%q is no path prefix", service.PathPrefix), "begin and end it with a slash, such as /turbines/")
		case strings.HasPrefix(service.PathPrefix, callerPrefix):
			c.report(object, "spec.pathPrefix", fmt.Sprintf("%q lies under %s, where models are reached", service.PathPrefix, callerPrefix), "take another prefix")
		}
	}
	for index, method := range service.Repeatable {
		path := fmt.Sprintf("spec.repeatable[%d]", index)
		if !slices.Contains(repeatableMethods, method) {
			c.report(object, path, fmt.Sprintf("%q is no method to declare repeatable", method), "give one of "+strings.Join(repeatableMethods, ", ")+"; GET and HEAD are repeatable anyway")
		}
	}
	c.duration(object, "spec.deadline", service.Deadline)
	c.duration(object, "spec.keyWindow", service.KeyWindow)
	c.limits(object, service.Limits)
	c.regions(object, service.Regions)
}

// repeatableMethods lists the methods that a service may add to GET and HEAD.
var repeatableMethods = []string{"DELETE", "OPTIONS", "PATCH", "POST", "PUT"}

func (c *checker) duration(object *Object, path string, span Duration) {
	if object.isSet(path) && span <= 0 && !c.isInvalid(object, path) {
		c.report(object, path, fmt.Sprintf("%s is %s", path, span), "give a time span above 0, or leave it out for the default")
	}
}

func (c *checker) limits(object *Object, limits Limits) {
	if limits.RequestsPerSecond < 0 {
		c.report(object, "spec.limits.requestsPerSecond", "spec.limits.requestsPerSecond is below 0", "give a rate above 0, or leave it out for no limit")
	}
	if limits.Concurrency < 0 {
		c.report(object, "spec.limits.concurrency", "spec.limits.concurrency is below 0", "give a count above 0, or leave it out for no limit")
	}
}

func (c *checker) preferences(object *Object, preferences *Preferences) {
	if !c.required(object, "spec.coldStartWeight", "give a weight from 0 to 1") {
		return
	}
	if weight := preferences.ColdStartWeight; weight < 0 || weight > 1 {
		c.report(object, "spec.coldStartWeight", fmt.Sprintf("spec.coldStartWeight is %v", weight), "give a weight from 0 (only idle hours count) to 1 (only the cold-start tail counts)")
	}
}

func (c *checker) singlePreferences() {
	for index, object := range c.index.ofKind(KindPreferences) {
		if index > 0 {
			c.report(object, "", object.Title()+" is a second Preferences", "keep one object of this kind")
		}
	}
}

// disjointPathPrefixes reports services whose prefixes could match the same path.
func (c *checker) disjointPathPrefixes() {
	services := c.index.ofKind(KindService)
	for index, object := range services {
		prefix := object.Spec.(*Service).PathPrefix
		for _, earlier := range services[:index] {
			other := earlier.Spec.(*Service).PathPrefix
			if prefix == "" || other == "" || !(strings.HasPrefix(prefix, other) || strings.HasPrefix(other, prefix)) {
				continue
			}
			c.report(object, "spec.pathPrefix", fmt.Sprintf("%q and %q of %s hold the same paths", prefix, other, earlier.Title()),
				fmt.Sprintf("take prefixes of which neither begins with the other; the other is at %s", earlier.Place("spec.pathPrefix")))
		}
	}
}
