package client

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

const job = `{"id":"run-000412","lane":"train","owner":"vision","shape":"batch","urgency":"high","pieces":1,"cores":1,"cards":0,
"memory_gb":1,"bundle":"img","size_gb":1,"together":false,"scatter":false,"loaners":true,"guess_s":1,"snapshot_s":0,"stash_s":0}`

// answers gives a client whose servers answer one after the other as given.
func answers(c *Client, list ...string) *[]string {
	asked := new([]string)
	c.http.Transport = roundTripper(func(r *http.Request) (*http.Response, error) {
		*asked = append(*asked, r.Method+" "+r.URL.Host+r.URL.Path)
		if len(list) == 0 {
			return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
		}
		code, body, _ := strings.Cut(list[0], " ")
		list = list[1:]
		resp := &http.Response{StatusCode: map[string]int{"201": 201, "200": 200, "422": 422, "503": 503, "429": 429, "404": 404}[code],
			Status: code, Header: http.Header{"Retry-After": {"7"}}, Body: io.NopCloser(strings.NewReader(body))}
		return resp, nil
	})
	return asked
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func TestRepeatsWhatCouldNotBeServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &Client{Servers: []string{"a:1", "b:2"}}
		asked := answers(c, `503 {"error":"busy"}`, `429 {}`, `201 {"id":"run-000412","status":"pending"}`)
		began := time.Now()
		st, err := c.Submit(context.Background(), []byte(job))
		if err != nil || st.State != "pending" {
			t.Fatal(st, err)
		}
		if time.Since(began) != 14*time.Second {
			t.Errorf("it took %v, Retry-After says twice 7 s", time.Since(began))
		}
		if got := strings.Join(*asked, ","); got != "POST a:1/v1/jobs,POST b:2/v1/jobs,POST a:1/v1/jobs" {
			t.Error(got)
		}
	})
}

func TestGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &Client{Servers: []string{"a:1"}}
		asked := answers(c)
		began := time.Now()
		_, err := c.Status(context.Background(), "run-000412")
		if err == nil || !strings.HasPrefix(err.Error(), "given up: a:1 does not answer") {
			t.Error(err)
		}
		if n := len(*asked); n < 30 || time.Since(began) > time.Minute {
			t.Errorf("%d tries in %v", n, time.Since(began))
		}
	})
}

func TestFinalRefusals(t *testing.T) {
	c := &Client{Servers: []string{"a:1"}}
	asked := answers(c, `422 {"error":"unknown team"}`, `404 {"error":"no such job"}`)
	_, err := c.Submit(context.Background(), []byte(job))
	var no *RefusedError
	if !errors.As(err, &no) || no.Status != 422 || err.Error() != "unknown team" {
		t.Error(err)
	}
	if _, err = c.Cancel(context.Background(), "run-1"); err == nil || err.Error() != "no such job" {
		t.Error(err)
	}
	if _, err = c.Submit(context.Background(), []byte(`{"id":"run-1"}`)); err == nil || err.Error() != `field "lane" is missing` {
		t.Error(err)
	}
	if _, err = c.Status(context.Background(), "412"); err == nil {
		t.Error("an id that is none was asked about")
	}
	if len(*asked) != 2 {
		t.Error(*asked)
	}
}
