package catalog

import "github.com/spanlanding/spanlanding/internal/spec"

// validateBounds returns why a number in a decoded spec is invalid; empty if all are
// valid. The apply command rejects such specs, but other writers may store them, and
// placement would treat a model of negative memory as free space for others.
func validateBounds(value any) string {
	switch declared := value.(type) {
	case spec.Model:
		return validateModel(declared)
	case spec.Adapter:
		return reasonIf(declared.Memory < 0, "memory is negative")
	case spec.Deployment:
		for _, version := range declared.Versions {
			if version.Weight < 0 {
				return "a weight is negative"
			}
		}
	case spec.Selector:
		return reasonIf(declared.Deadline < 0 || hasNegativeLimit(declared.Limits), "the deadline or a limit is negative")
	case spec.Service:
		return reasonIf(declared.Deadline < 0 || declared.KeyWindow < 0 || hasNegativeLimit(declared.Limits),
			"the deadline, the keyWindow or a limit is negative")
	case spec.Capacity:
		return reasonIf(declared.Replicas < 0, "replicas is negative")
	case spec.Tenant:
		return validateTenant(declared)
	case spec.Preferences:
		return reasonIf(declared.ColdStartWeight < 0 || declared.ColdStartWeight > 1, "coldStartWeight is not between 0 and 1")
	}
	return ""
}

func validateModel(model spec.Model) string {
	for _, version := range model.Versions {
		if version.Memory < 0 || version.Checkpoint < 0 {
			return "memory or checkpoint of a version is negative"
		}
	}
	return reasonIf(model.Replicas.Min < 0 || model.Replicas.Max < 0 || model.ContextTokens < 0,
		"a bound of replicas or contextTokens is negative")
}

func hasNegativeLimit(limits spec.Limits) bool {
	return limits.RequestsPerSecond < 0 || limits.Concurrency < 0
}

// reasonIf returns the reason if the condition holds; empty otherwise.
func reasonIf(condition bool, reason string) string {
	if !condition {
		return ""
	}
	return reason
}
