package operator

import (
	"context"
	"net"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// IsAddress reports whether the text has the form IP:port.
func IsAddress(text string) bool {
	host, _, err := net.SplitHostPort(text)
	return err == nil && net.ParseIP(host) != nil
}

// FindOperatorAddress returns the operator address of the live member with the
// given name. It asks the entry node first, then live members of the other
// zones known to the entry node.
func FindOperatorAddress(ctx context.Context, entry VersionSource, dial func(address string) VersionSource, name string) (string, error) {
	report, err := entry.Versions(ctx)
	if err != nil {
		return "", err
	}
	if address, found := operatorAddress(report, name); found {
		return address, nil
	}
	for _, member := range sortMembers(report.Members) {
		if member.Zone == report.Zone || !isLive(member) {
			continue
		}
		other, err := queryVersions(ctx, dial(member.Addresses.Operator))
		if err != nil {
			continue
		}
		if address, found := operatorAddress(other, name); found {
			return address, nil
		}
	}
	return "", ErrNotFound.New("no member is named %q", name)
}

func operatorAddress(report VersionReport, name string) (string, bool) {
	for _, member := range report.Members {
		if member.Name == fleet.NodeName(name) && isLive(member) {
			return member.Addresses.Operator, true
		}
	}
	return "", false
}
