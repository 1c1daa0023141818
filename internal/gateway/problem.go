package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/spanlanding/spanlanding/internal/attempt"
)

// Problem is the body of every response that the gateway produces for a failed request (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Outcome says whether the request ran; not-run is given only if that is certain.
	Outcome   attempt.Outcome `json:"outcome"`
	Code      string          `json:"code"`
	RequestID string          `json:"requestId"`
	// RetryAfterSeconds repeats the Retry-After header; 0 if there is none.
	RetryAfterSeconds int `json:"retryAfterSeconds,omitempty"`
}

const (
	problemTypePrefix  = "urn:spanlanding:problem:"
	contentTypeProblem = "application/problem+json"
	// statusCallerGone is logged for callers that disconnected.
	statusCallerGone = 499
)

// Codes of the gateway's own refusals.
const (
	codeMalformed    = "malformed-request"
	codeBodyTooLarge = "body-too-large"
	codeBodyTimeout  = "body-timeout"
	codeUnknownModel = "unknown-model"
	codeNoRoute      = "no-route"
	codeMethod       = "method-not-allowed"
	codeNoCatalog    = "no-declarations-yet"
	codeStopping     = "node-stopping"
	codeRateLimited  = "rate-limited"
	codeConcurrency  = "concurrency-limited"
	codeOverloaded   = "node-overloaded"
	codeRetryBudget  = "retry-budget-spent"
	codeNoBackend    = "no-backend"
	// codeBackendLimited is used when the back ends accept fewer requests than arrive.
	codeBackendLimited = "backend-rate-limited"
	codeTooLong        = "prompt-too-long"
	codeKeyInProgress  = "key-in-progress"
	codeKeyMismatch    = "key-used-for-another-request"
	codeKeyUnknown     = "key-outcome-unknown"
	codeKeyNoMajority  = "key-cannot-be-granted"
	codeKeyBodyGone    = "key-answer-not-kept"
	codeAnswerLarge    = "answer-too-large"
	codePoison         = "poison-request"
	codeNoRegion       = "no-region-allowed"
	codeUnknownKey     = "unknown-key"
	codeQuota          = "quota-used-up"
	codeQuotaUnknown   = "quota-unknown"
)

// failure is a Problem without a request ID.
type failure struct {
	status     int
	code       string
	detail     string
	outcome    attempt.Outcome
	retryAfter time.Duration
}

func newRefusal(status int, code, detail string) failure {
	return failure{status: status, code: code, detail: detail, outcome: attempt.OutcomeNotRun}
}

func (f failure) withRetryAfter(retryAfter time.Duration) failure {
	f.retryAfter = retryAfter
	return f
}

var problemNoCatalog = newRefusal(http.StatusServiceUnavailable, codeNoCatalog,
	"this node has no declarations yet").withRetryAfter(time.Second)

func problemStopping(retryAfter time.Duration) failure {
	return newRefusal(http.StatusServiceUnavailable, codeStopping, "this node is stopping; ask another one").withRetryAfter(retryAfter)
}

func (f failure) problem(requestID string) Problem {
	return Problem{
		Type:              problemTypePrefix + f.code,
		Title:             titleOf(f.status),
		Status:            f.status,
		Detail:            f.detail,
		Outcome:           f.outcome,
		Code:              f.code,
		RequestID:         requestID,
		RetryAfterSeconds: ceilSeconds(f.retryAfter),
	}
}

func titleOf(status int) string {
	if title := http.StatusText(status); title != "" {
		return title
	}
	return "Request failed"
}

func ceilSeconds(wait time.Duration) int {
	return int(math.Ceil(wait.Seconds()))
}

// write sends the problem as the response; nothing may have been written before.
func (f failure) write(writer http.ResponseWriter, requestID string) {
	header := writer.Header()
	header.Set("Content-Type", contentTypeProblem)
	header.Set("Cache-Control", "no-store")
	if f.retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(ceilSeconds(f.retryAfter)))
	}
	body, _ := json.Marshal(f.problem(requestID))
	header.Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(f.status)
	_, _ = writer.Write(body)
}

// httpStatus maps the codes of packages queue and attempt to HTTP statuses.
func httpStatus(code string) int {
	switch code {
	case codeRateLimited, codeConcurrency:
		return http.StatusTooManyRequests
	case attempt.CodeDeadline:
		return http.StatusGatewayTimeout
	case attempt.CodeBackend, attempt.CodeInterrupted:
		return http.StatusBadGateway
	case attempt.CodeCallerGone:
		return statusCallerGone
	}
	return http.StatusServiceUnavailable
}

// newFailure converts the result of a request without a complete response.
func newFailure(finish attempt.Finish) failure {
	result := failure{
		status:     httpStatus(finish.Code),
		code:       finish.Code,
		detail:     finish.Detail,
		outcome:    finish.Outcome,
		retryAfter: finish.RetryAfter,
	}
	if finish.Code == attempt.CodeRefused || finish.Code == attempt.CodeBackend {
		if finish.Status >= http.StatusBadRequest && finish.Status < http.StatusInternalServerError {
			result.status = finish.Status
		}
	}
	if finish.Code == codePoison {
		if result.outcome != attempt.OutcomeNotRun {
			result.status = http.StatusBadGateway
		}
		return result
	}
	if result.outcome == attempt.OutcomeNotRun && result.retryAfter == 0 &&
		result.status >= http.StatusInternalServerError {
		result.retryAfter = time.Second
	}
	return result
}
