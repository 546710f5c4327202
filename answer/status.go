package answer

import "net/http"

// PromisesNotRun reports whether callers that send their own attempt IDs take a status for
// the promise that their request has not run and never will. They send it again then.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
