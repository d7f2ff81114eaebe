// Package claimer claims callers' own idempotency keys in the platform's store,
// so that only one process decides about each key.
//
// A claim is a value created under the key. The process that creates it holds
// the key; other processes read the holder from it. If the store's answer is
// lost, the value is read back.
//
// Usage:
//
//	c := claimer.Claimer{Store: store}
//	claimed := c.Claim(ctx, effect)
//	settled := c.Settle(ctx, effect)
package claimer

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"

	"github.com/yuccathread/yuccathread/internal/message"
	"github.com/yuccathread/yuccathread/internal/model"
)

// maxAttempts bounds the attempts to find out whether the store accepted a claim.
const maxAttempts = 3

// Claimer claims keys. Set Store before the first call.
type Claimer struct {
	Store model.Store
}

func claimKey(key string) string {
	return model.KeyClaims + base64.RawURLEncoding.EncodeToString([]byte(key))
}

// Claim claims a key by creating it in the store. If the answer is lost, it tries
// to create the key again. If that conflicts, it reads the claim in the store and
// compares nonce and incarnation to find out whether its earlier write succeeded.
func (c *Claimer) Claim(ctx context.Context, e message.Claim) message.Claimed {
	claimed := message.Claimed{ID: e.ID, Status: message.ClaimStoreUnavailable, Holder: e.Claim}
	for range maxAttempts {
		status, holder, err := c.tryClaim(ctx, e)
		if err == nil {
			claimed.Status = status
			claimed.Holder = holder
			break
		}
	}
	return claimed
}

func (c *Claimer) tryClaim(ctx context.Context, e message.Claim) (message.ClaimStatus, model.Claim, error) {
	data, err := json.Marshal(e.Claim)
	if err != nil {
		return "", e.Claim, fmt.Errorf("claimer: %w", err)
	}
	put, err := c.Store.Put(ctx, claimKey(e.Claim.Key), data, 0, e.Lifetime)
	if err != nil {
		return "", e.Claim, err
	}
	if !put.Conflict {
		return message.ClaimGranted, e.Claim, nil
	}
	holder, _, err := c.read(ctx, e.Claim.Key)
	if err != nil {
		return "", e.Claim, err
	}
	if holder.Nonce == e.Claim.Nonce && holder.Incarnation == e.Claim.Incarnation {
		return message.ClaimGranted, holder, nil
	}
	return message.ClaimHeld, holder, nil
}

func (c *Claimer) read(ctx context.Context, key string) (model.Claim, int64, error) {
	var claim model.Claim
	value, err := c.Store.Get(ctx, claimKey(key), 0)
	if err != nil {
		return claim, 0, err
	}
	if value.Revision == 0 {
		return claim, 0, fmt.Errorf("claimer: no claim for key %q in the store", key)
	}
	if err := json.Unmarshal(value.Data, &claim); err != nil {
		return claim, 0, fmt.Errorf("claimer: malformed claim: %w", err)
	}
	return claim, value.Revision, nil
}

// Settle writes the outcome of a claim, unless the key has been claimed by
// another request in the meantime.
func (c *Claimer) Settle(ctx context.Context, e message.Settle) message.Settled {
	settled := message.Settled{Key: e.Claim.Key}
	claim, revision, err := c.read(ctx, e.Claim.Key)
	if err != nil {
		return settled
	}
	if claim.Nonce != e.Claim.Nonce || claim.Outcome == e.Claim.Outcome {
		settled.OK = true
		return settled
	}
	data, err := json.Marshal(e.Claim)
	if err != nil {
		return settled
	}
	put, err := c.Store.Put(ctx, claimKey(e.Claim.Key), data, revision, e.Lifetime)
	settled.OK = err == nil && !put.Conflict
	return settled
}
