package gateway

import (
	"slices"
	"time"

	"github.com/fescuecourse/fescuecourse/api/fescuev1"
	"github.com/fescuecourse/fescuecourse/pkg/fleet"
	"github.com/fescuecourse/fescuecourse/pkg/origin"
	"github.com/fescuecourse/fescuecourse/pkg/route"
)

// originAnswer is what this entry and the holders know of the origin of a stream.
type originAnswer struct {
	origin origin.Origin
	found  bool
	// source is the server whose sidecar knows the origin, or empty if the entry itself does.
	source fleet.ID
	// asked and answered are the numbers of sidecars that were asked and that answered.
	asked, answered int
	// versions are the software versions at which the stream may have begun if the origin
	// is not known: those of the service that servers run or streams began at recently.
	versions []string
	// known are the periods of which versions lacks no version that served beside another one:
	// those that sidecars name, and that of which this entry has followed the list of servers.
	known []origin.Period
	// knownFor is for how long versions lacks none, up to the question. It is 0 unless the
	// entry has confirmed that its directory is current: what a process knew before, be it
	// this entry or one that told a sidecar, says nothing of the versions that joined since.
	knownFor time.Duration
	// unconfirmed is true if the entry tried that without success.
	unconfirmed bool
	// settlesIn is for how long the entry's directory may still be incomplete, so that
	// versions lacks some and other servers are holders.
	settlesIn time.Duration
}

// holderReply is the reply of one holder, or nil if it did not answer in time.
type holderReply struct {
	holder  fleet.ID
	message *fescuev1.FindOriginResponse
}

// add takes over the reply of a holder and reports whether it has the origin.
func (a *originAnswer) add(r holderReply) bool {
	if r.message == nil {
		return false
	}
	a.answered++
	a.versions = append(a.versions, r.message.GetServiceVersions()...)
	a.known = append(a.known, origin.DecodePeriod(time.Now(), r.message.GetSoftwareKnown()))
	if !r.message.GetFound() {
		return false
	}
	a.origin = origin.Origin{Service: r.message.GetService(), SoftwareVersion: r.message.GetSoftwareVersion()}
	a.found, a.source = true, r.holder
	return true
}

// outcome returns what is known of the origin, for logs: "unavailable" if it is not known
// and a holder did not answer.
func (a *originAnswer) outcome() string {
	switch {
	case a.found:
		return "known"
	case a.answered < a.asked:
		return "unavailable"
	default:
		return "unknown"
	}
}

// addVersions adds software versions at which the stream may have begun.
func (a *originAnswer) addVersions(versions []string) {
	a.versions = append(a.versions, versions...)
	slices.Sort(a.versions)
	a.versions = slices.Compact(a.versions)
}

// singleVersion returns the only software version that is known, if there is one.
func (a *originAnswer) singleVersion() (string, bool) {
	if len(a.versions) != 1 {
		return "", false
	}
	return a.versions[0], true
}

// onlyVersion returns the software version at which a stream of unknown origin must have
// begun. There is one if only one version is known, and all versions that served within the
// given time, in which the stream began, are known. A process that has just started knows
// neither origins nor versions, so that it cannot tell.
func (a *originAnswer) onlyVersion(within time.Duration) (string, bool) {
	version, ok := a.singleVersion()
	return version, ok && a.knownFor >= within
}

// needsDirectory reports whether a stream may be able to continue once the directory is
// complete.
func (a *originAnswer) needsDirectory(within time.Duration) bool {
	_, single := a.singleVersion()
	return !a.found && single && a.knownFor < within && a.settlesIn > 0
}

// streamAge returns how long ago a stream that is resumed may have begun: the time limit of its
// route, and at least the default one, because the configuration may have shortened the limit
// since.
func streamAge(r *route.Route) time.Duration {
	return min(max(r.Timeout, defaultTimeLimit), origin.Retention)
}
