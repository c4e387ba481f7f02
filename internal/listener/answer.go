package listener

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"bronzedrift.example/bronzedrift/internal/dispatcher"
)

// statusCancelled is the non-standard HTTP status 499 (client closed request),
// the answer for a job that its caller cancelled.
const statusCancelled = 499

// answerJSON is the body of every answer about a job.
type answerJSON struct {
	JobID   string       `json:"job-id"`
	Home    string       `json:"home"`
	Outcome string       `json:"outcome"`
	Ran     string       `json:"ran"`
	Reason  string       `json:"reason,omitempty"`
	Message string       `json:"message,omitempty"`
	Results []resultJSON `json:"results,omitempty"`
}

type resultJSON struct {
	Payload json.RawMessage `json:"payload"`
}

type errorJSON struct {
	Message string `json:"message"`
}

// httpStatus returns the HTTP status for the answer to a submission.
func httpStatus(a *dispatcher.Answer) int {
	if a.Outcome != dispatcher.Failed {
		return http.StatusOK
	}
	switch a.Reason {
	case dispatcher.Malformed, dispatcher.SubmittedTooEarly:
		return http.StatusBadRequest
	case dispatcher.UnknownTeam, dispatcher.UnknownService, dispatcher.UnknownJob:
		return http.StatusNotFound
	case dispatcher.ReusedID:
		return http.StatusConflict
	case dispatcher.TooLarge:
		return http.StatusRequestEntityTooLarge
	case dispatcher.NeverFits:
		return http.StatusUnprocessableEntity
	case dispatcher.OverQuota:
		return http.StatusTooManyRequests
	case dispatcher.Cancelled:
		return statusCancelled
	case dispatcher.TaskFailed:
		return http.StatusBadGateway
	case dispatcher.Draining, dispatcher.Overloaded, dispatcher.Evacuated:
		return http.StatusServiceUnavailable
	}
	return http.StatusGatewayTimeout
}

func writeAnswer(w http.ResponseWriter, status int, a *dispatcher.Answer) {
	body := answerJSON{
		JobID: a.JobID, Home: a.Home, Outcome: string(a.Outcome), Ran: string(a.Ran),
		Reason: string(a.Reason), Message: a.Message,
	}
	for _, payload := range a.Results {
		body.Results = append(body.Results, resultJSON{Payload: payload})
	}
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfter(a.RetryAfter))
	}
	writeJSON(w, status, body)
}

// retryAfter formats a duration for the Retry-After header: whole seconds,
// rounded up, at least one.
func retryAfter(d time.Duration) string {
	return strconv.Itoa(max(1, int(math.Ceil(d.Seconds()))))
}
