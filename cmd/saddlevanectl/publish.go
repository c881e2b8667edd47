// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"saddlevane/models/effect"
	"saddlevane/models/spec"

	"github.com/oklog/ulid/v2"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// validate returns the command that checks a file locally.
func (t *tool) validate() *ffcli.Command {
	return t.command("validate", "FILE", "checks a file without publishing it, and without asking any daemon",
		"validate jordan.yaml", func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return usageError("validate: want one file")
			}
			f, _, err := parseFile(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(t.out, "%s: file %q is valid\n", args[0], f.Name)
			return nil
		})
}

// parseFile reads and parses the file at path. It returns the parsed file and its text, or an
// error with the exit code exitUsage.
func parseFile(path string) (*spec.File, string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, "", &codeError{exitUsage, err}
	}
	f, _, problems := spec.Parse(path, data)
	if err := problems.Err(); err != nil {
		return nil, "", &codeError{exitUsage, err}
	}
	return f, string(data), nil
}

// publishOptions holds the flags of the command publish.
type publishOptions struct {
	replaces int64
	id       string
	timeout  time.Duration
}

// publish returns the command that publishes a file.
func (t *tool) publish() *ffcli.Command {
	o := publishOptions{}
	cmd := t.command("publish", "FILE", "publishes a complete file in place of the revision that it replaces",
		"publish -replaces 12 jordan.yaml", func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageError("publish: want one file")
			}
			if o.replaces < 0 {
				return usageError("publish: -replaces: want the revision in force as get shows it, or 0 for a new file")
			}
			return t.publishFile(ctx, args[0], o)
		})
	cmd.FlagSet.Int64Var(&o.replaces, "replaces", -1, "revision that the file replaces, 0 for a new file")
	cmd.FlagSet.StringVar(&o.id, "id", "", "name of this publication; the same again after exit code 3 cannot apply it twice")
	cmd.FlagSet.DurationVar(&o.timeout, "within", 20*time.Second, "how long to keep trying")
	return cmd
}

// publishFile publishes the file at path and prints the outcome.
func (t *tool) publishFile(ctx context.Context, path string, o publishOptions) error {
	f, data, err := parseFile(path)
	if err != nil {
		return err
	}
	if o.id == "" {
		o.id = ulid.Make().String()
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	result, err := t.publishToAny(ctx, f.Name, data, o)
	if err != nil {
		return err
	}
	switch result.Outcome {
	case effect.Accepted:
		return t.print(result, func() { fmt.Fprintf(t.out, "%s: revision %d is accepted\n", f.Name, result.Revision) })
	case effect.Refused:
		return &codeError{exitRefused, fmt.Errorf("refused, nothing is applied: %s", strings.Join(result.Reasons, "; "))}
	default:
		return unknownError(o.id, errors.New(strings.Join(result.Reasons, "; ")))
	}
}

// unknownError returns an error with the exit code exitUnknown for the publication id.
func unknownError(id string, cause error) error {
	return &codeError{exitUnknown, fmt.Errorf("not known whether the file was applied (publish again with -id %s): %w", id, cause)}
}

// publishToAny tries the daemons in turn until one accepts or refuses the file, or ctx ends. Once
// a daemon may have received the file, a refusal by another one no longer shows that the file was
// not applied: the outcome is then unknown.
func (t *tool) publishToAny(ctx context.Context, name, data string, o publishOptions) (effect.PublishResult, error) {
	query := url.Values{"replaces": {strconv.FormatInt(o.replaces, 10)}, "id": {o.id}}
	mayHaveArrived := false
	var lastErr error
	for {
		for _, address := range t.client.addresses {
			result, sent, err := t.publishTo(ctx, address, name, data, query)
			if err == nil && result.Outcome == effect.Refused && mayHaveArrived {
				err = fmt.Errorf("%s: %s", address, strings.Join(result.Reasons, "; "))
				return result, unknownError(o.id, err)
			}
			if err == nil && result.Outcome != effect.Unknown {
				return result, nil
			}
			if err == nil {
				err = errors.New(strings.Join(result.Reasons, "; "))
			}
			mayHaveArrived = mayHaveArrived || sent
			lastErr = fmt.Errorf("%s: %w", address, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(publishRetryDelay):
			continue
		}
		if mayHaveArrived {
			return effect.PublishResult{}, unknownError(o.id, lastErr)
		}
		return effect.PublishResult{}, &codeError{exitRefused, fmt.Errorf("no daemon accepted the file: %w", lastErr)}
	}
}

// publishRetryDelay is the pause before all daemons are tried again.
const publishRetryDelay = 200 * time.Millisecond

// publishTo posts the file to one daemon. The second result reports whether the daemon may have
// received the file.
func (t *tool) publishTo(ctx context.Context, address, name, data string, query url.Values) (effect.PublishResult, bool, error) {
	var result effect.PublishResult
	resp, sent, err := t.client.postFile(ctx, address, "/v1/files/"+name, query, data)
	if err != nil {
		return result, sent, err
	}
	body, err := readBody(resp)
	if err != nil {
		return result, true, err
	}
	if err := json.Unmarshal(body, &result); err != nil {
		return result, true, err
	}
	if result.Outcome == "" {
		return result, false, fmt.Errorf("status %d: %s", resp.StatusCode, body)
	}
	return result, true, nil
}
