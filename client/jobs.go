package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// SubmitJob asks for a job. A nil error means Accepted: the job is recorded and will
// run. With an idempotency key a repeated submit gives the same job; without one a
// submit whose outcome is Unknown may leave a job that the caller has no ID of.
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

// GetJob returns a job of the caller's organisation. NotRun with reason "not_found"
// means that there is none; Unknown that the owner of its zone could not be asked.
func (c *Client) GetJob(ctx context.Context, id string) (Job, error) {
	return c.callJobs(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id), http.Header{}, nil)
}

// WaitJob returns the job as soon as its revision is above known, or after wait.
func (c *Client) WaitJob(ctx context.Context, id string, known int64, wait time.Duration) (Job, error) {
	query := url.Values{
		"revision": {strconv.FormatInt(known, 10)},
		"wait":     {wait.String()},
	}
	return c.callJobs(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id)+"?"+query.Encode(), http.Header{}, nil)
}

// CancelJob asks for a job to be stopped. A nil error means that the wish is recorded;
// the job's State says whether it has ended. Cancelling again is harmless.
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
