package model

import (
	"context"
	"encoding/json"
	"time"
)

// StoreValue is a value of the platform's store.
type StoreValue struct {
	Revision int64           `json:"revision"`
	Data     json.RawMessage `json:"data,omitempty"`
	// Conflict is set where a write found another revision.
	Conflict bool `json:"-"`
}

// Keys of the store.
const (
	KeyHead   = "configuration/head"
	KeyTables = "tables/"
	KeyClaims = "claims/"
)

// Store is the platform's key-value store.
type Store interface {
	// Get reads a key; see storer.Storer.
	Get(ctx context.Context, key string, newerThan int64) (StoreValue, error)
	// Put writes a key by compare-and-swap; see storer.Storer.
	Put(ctx context.Context, key string, data []byte, expect int64, ttl time.Duration) (StoreValue, error)
}

// Patch is an operator's change to a numbered version.
type Patch struct {
	BaseVersion int64
	ChangeID    string
	Author      string
	// Operations is a JSON Patch (RFC 6902).
	Operations []byte
	// DryRun checks without writing.
	DryRun bool
}
