package awentry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/rotisserie/eris"

	"arbutuswind/core/awledger"
	"arbutuswind/core/awoutcome"
	"arbutuswind/core/awweights"
	"arbutuswind/io/awproto"
	"arbutuswind/io/awstore"
)

// serveClaimed runs a call with an Idempotency-Key at most once.
func (e *Entry) serveClaimed(
	ctx context.Context, w http.ResponseWriter, req *request, start *awproto.ServeStart, out *bufferSink,
) error {
	t, ok := e.pick(start.Model, "", nil)
	if !ok {
		return awoutcome.Refuse(awoutcome.NoBackend, "no backend server serves "+start.Model)
	}
	defer t.done()
	id := e.nextAttempt()
	claim := awledger.Claim{
		State: awledger.Claimed, AttemptNo: 1, BodyDigest: awweights.Digest(req.body),
		Attempt: awledger.AttemptID{Entry: id.EntryInstance, Incarnation: id.EntryIncarnation, Sequence: id.Sequence},
		Agent:   t.Instance, Incarnation: t.Incarnation,
	}
	if err := e.claims.put(ctx, req.team, req.key, 0, claim); err != nil {
		if errors.Is(err, awstore.ErrConflict) {
			return e.answerClaimed(ctx, w, req, claim.BodyDigest)
		}
		return awoutcome.Refuse(awoutcome.StoreDown, "claim could not be written")
	}
	if err := e.attempt(ctx, req, start, t, id, out); err != nil {
		return err
	}
	claim.State = awledger.Finished
	claim.Result = &awledger.Result{Status: out.status, ContentType: out.contentType, Body: out.body.Bytes()}
	if err := e.claims.put(ctx, req.team, req.key, 1, claim); err != nil {
		_ = e.cfg.Logger.Log("Message", "result of a claim was not recorded", "Error", err.Error())
	}
	out.write(w)
	return nil
}

// answerClaimed answers a call whose key was claimed before.
func (e *Entry) answerClaimed(ctx context.Context, w http.ResponseWriter, req *request, body string) error {
	var claim awledger.Claim
	if _, err := e.claims.get(ctx, req.team, req.key, &claim); err != nil {
		return &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.StoreDown, Detail: err.Error()}
	}
	if claim.BodyDigest != body {
		return awoutcome.Refuse(awoutcome.KeyReused, "the key was used with another body")
	}
	if claim.Result == nil {
		return &awoutcome.Error{Outcome: awoutcome.Unknown, Reason: awoutcome.InProgress, Detail: "the call is in progress"}
	}
	out := &bufferSink{status: claim.Result.Status, contentType: claim.Result.ContentType}
	out.body.Write(claim.Result.Body)
	out.write(w)
	return nil
}

// claims keeps non-repeatable calls from running twice.
type claims struct{ store *awstore.Client }

func claimKey(team, key string) string { return "claim/" + team + "/" + key }

func (c *claims) get(ctx context.Context, team, key string, into any) (uint64, error) {
	row, err := c.store.Get(ctx, claimKey(team, key), 0)
	if err != nil {
		return 0, err
	}
	return row.Version, eris.Wrap(json.Unmarshal(row.Value, into), "decode claim")
}

func (c *claims) put(ctx context.Context, team, key string, version uint64, claim any) error {
	data, err := json.Marshal(claim)
	if err != nil {
		return eris.Wrap(err, "encode claim")
	}
	k := claimKey(team, key)
	return c.store.Commit(ctx, awstore.Txn{
		Conditions: []awstore.Condition{{Key: k, Version: version}},
		Puts:       []awstore.Put{{Key: k, Value: data}},
	})
}
