// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"saddlevane/modules/setting"

	"gotest.tools/v3/assert"
)

const example = "../../custom/conf/saddlevaned.example.yaml"

// required holds the settings that have no default.
const required = "box: {name: x, domain: a}\nplatform: {log: 'http://127.0.0.1:1', boxes: 'http://127.0.0.1:2'}\n"

func load(t *testing.T, text string, args ...string) (setting.Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	s, _, err := setting.Load("test", append([]string{"-config", path}, args...))
	return s, err
}

func TestExampleFileHoldsDefaults(t *testing.T) {
	got, _, err := setting.Load("test", []string{"-config", example})
	assert.NilError(t, err)
	want := setting.Default()
	want.Box = got.Box
	want.Platform.LogURL, want.Platform.BoxesURL = got.Platform.LogURL, got.Platform.BoxesURL
	want.Peers.Seeds = []string{}
	assert.DeepEqual(t, got, want)
}

func TestExampleFileNamesEverySetting(t *testing.T) {
	data, err := os.ReadFile(example)
	assert.NilError(t, err)
	for _, key := range setting.Keys() {
		parts := strings.Split(key, ".")
		assert.Check(t, strings.Contains(string(data), "\n  "+parts[len(parts)-1]+":"), key)
	}
}

func TestFlagsOverrideEnvironmentAndFile(t *testing.T) {
	text := required + "peers: {heartbeat: 100ms, dead_after: 5s}\nworkers: {renew: 300ms}\n"
	t.Setenv("SADDLEVANE_PEERS_HEARTBEAT", "200ms")
	t.Setenv("SADDLEVANE_PEERS_DEAD_AFTER", "6s")
	s, err := load(t, text, "-peers.heartbeat", "300ms")
	assert.NilError(t, err)
	assert.Equal(t, s.Peers.Heartbeat, 300*time.Millisecond)
	assert.Equal(t, s.Peers.DeadAfter, 6*time.Second)
	assert.Equal(t, s.Workers.RenewInterval, 300*time.Millisecond)
	assert.Equal(t, s.Workers.Lease, setting.Default().Workers.Lease)
}

func TestAllErrorsAreReportedWithPosition(t *testing.T) {
	_, err := load(t, strings.Join([]string{
		"box: {name: Upper, domain: a}",
		"platform:",
		"  log: ftp://x",
		"  boxes: http://127.0.0.1:2",
		"  wait: 10s",
		"peers: {heartbeat: 3s}",
		"workers: {lease: 1s, renew: 2s, typo: 1}",
		"log: {level: loud}",
	}, "\n"))
	assert.Assert(t, err != nil)
	for _, want := range []string{
		":1:7: box.name:", ":3:3: platform.log:", ":5:3: platform.wait: 10s must be less than platform.timeout",
		":6:9: peers.heartbeat:", ":7:22: workers.renew:", ":7:33: workers.typo: unknown key", ":8:7: log.level:",
	} {
		assert.Check(t, strings.Contains(err.Error(), want), "no %q in:\n%s", want, err)
	}
	assert.Equal(t, strings.Count(err.Error(), "\n"), 6, "%s", err)
}

func TestInvalidFlagIsReported(t *testing.T) {
	_, err := load(t, required, "-workers.lease", "long")
	assert.ErrorContains(t, err, "workers.lease: want a duration")
}

func TestMissingFileIsReported(t *testing.T) {
	_, _, err := setting.Load("test", []string{"-config", "nowhere.yaml"})
	assert.ErrorContains(t, err, "nowhere.yaml")
}
