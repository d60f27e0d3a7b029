package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// SubmitJob submits a job. A nil error means Accepted: the job is recorded and will run.
// With an idempotency key a repeated submission returns the same job; without one, a
// submission whose outcome is Unknown may create a job whose ID the caller doesn't know.
func (c *Client) SubmitJob(ctx context.Context, request JobRequest, idempotencyKey string) (Job, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return Job{}, newError(NotRun, "malformed", err)
	}
	header := http.Header{"Content-Type": {"application/json"}}
	if idempotencyKey != "" {
		header.Set(HeaderKey, idempotencyKey)
	}
	return c.callJobs(ctx, http.MethodPost, "/v1/jobs", header, body)
}

// GetJob returns a job of the caller's organisation. NotRun with reason "not_found" means
// that there is no such job, Unknown that not all owners of zones responded.
func (c *Client) GetJob(ctx context.Context, id string) (Job, error) {
	return c.callJobs(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id), http.Header{}, nil)
}

// WaitJob returns the job as soon as its revision exceeds known, or after wait.
func (c *Client) WaitJob(ctx context.Context, id string, known int64, wait time.Duration) (Job, error) {
	query := url.Values{
		"revision": {strconv.FormatInt(known, 10)},
		"wait":     {wait.String()},
	}
	return c.callJobs(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id)+"?"+query.Encode(), http.Header{}, nil)
}

// CancelJob requests the cancellation of a job. A nil error means that the request is
// recorded; the job's State says whether the job has ended. Cancelling again has no
// effect.
func (c *Client) CancelJob(ctx context.Context, id string) (Job, error) {
	return c.callJobs(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), http.Header{}, nil)
}

func (c *Client) callJobs(ctx context.Context, method, path string, header http.Header, body []byte) (Job, error) {
	response, responseBody, err := c.call(ctx, method, path, header, body)
	if err != nil {
		return Job{}, err
	}
	if response.StatusCode >= http.StatusMultipleChoices || isProblem(response) {
		return Job{}, responseError(response, responseBody)
	}
	var job Job
	if err := json.Unmarshal(responseBody, &job); err != nil {
		return Job{}, newError(Unknown, "answer_lost", err)
	}
	return job, nil
}
