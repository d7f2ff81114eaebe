package model

import (
	"context"
	"encoding/json"
	"time"
)

// StoreValue is a value in the platform's store, with its revision.
type StoreValue struct {
	Revision int64           `json:"revision"`
	Data     json.RawMessage `json:"data,omitempty"`
	// Conflict is set if a write failed because the key has another revision.
	Conflict bool `json:"-"`
}

// Keys and key prefixes in the store.
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

// Patch is an operator's change to the configuration version BaseVersion.
type Patch struct {
	BaseVersion int64
	ChangeID    string
	Author      string
	// Operations is a JSON Patch (RFC 6902).
	Operations []byte
	// DryRun validates the patch without writing it.
	DryRun bool
}
