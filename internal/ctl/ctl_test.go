package ctl

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestVersionIsPrinted(t *testing.T) {
	for _, argument := range []string{"-version", "--version", "version"} {
		var stdout, stderr bytes.Buffer
		assert.Equal(t, Run([]string{argument}, nil, &stdout, &stderr), exitOK)
		assert.Assert(t, strings.HasPrefix(stdout.String(), "yuccactl 0.1.0 go"), stdout.String())
		assert.Equal(t, stderr.String(), "")
	}
}
