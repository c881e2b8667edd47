// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Package setting loads a daemon's settings. Flags take precedence over the environment, the
// environment over the file, and the file over the defaults. All errors are reported at once,
// each with its position.
package setting

import (
	"flag"
	"fmt"
	"os"
	"reflect"

	"saddlevane/modules/strictyaml"

	"github.com/peterbourgon/ff/v3"
)

// EnvPrefix is the prefix of the environment variables.
const EnvPrefix = "SADDLEVANE"

// maxFileBytes is the maximum size of a settings file, in bytes.
const maxFileBytes = 1 << 20

// Settings holds all settings of a daemon.
type Settings struct {
	Box      Box      `yaml:"box"`
	Listen   Listen   `yaml:"listen"`
	Platform Platform `yaml:"platform"`
	Peers    Peers    `yaml:"peers"`
	Requests Requests `yaml:"requests"`
	Workers  Workers  `yaml:"workers"`
	Queue    Queue    `yaml:"queue"`
	Policy   Policy   `yaml:"policy"`
	Stop     Stop     `yaml:"stop"`
	Log      Log      `yaml:"log"`
	Jobs     Jobs     `yaml:"jobs"`
	// Connections limits how long open connections may be silent.
	Connections Connections `yaml:"connections"`
}

// Default returns the default settings.
func Default() Settings {
	return Settings{
		Box: defaultBox(), Listen: defaultListen(), Platform: defaultPlatform(), Peers: defaultPeers(),
		Requests: defaultRequests(), Workers: defaultWorkers(), Queue: defaultQueue(),
		Policy: defaultPolicy(), Stop: defaultStop(), Log: defaultLog(),
		Jobs: defaultJobs(), Connections: defaultConnections(),
	}
}

// Command holds the command-line options that are not settings.
type Command struct {
	// Check requests only that the settings be validated.
	Check   bool
	Version bool
}

// Load reads the settings for a command line. The error, if any, lists all invalid settings.
func Load(name string, args []string) (Settings, Command, error) {
	s := Default()
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	command := Command{}
	file := fs.String("config", "", "settings file")
	fs.BoolVar(&command.Check, "check", false, "check the settings and exit")
	fs.BoolVar(&command.Version, "version", false, "print the version and exit")
	given := addFlags(fs, &s)
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(EnvPrefix)); err != nil {
		return s, command, err
	}
	if command.Version {
		return s, command, nil
	}
	positions, problems := readFile(*file, &s)
	problems = append(problems, given.apply(&s)...)
	c := checker{file: *file, positions: positions, problems: problems}
	s.check(&c)
	return s, command, c.problems.Err()
}

// readFile decodes the settings file into s. An empty path means that there is no file.
func readFile(path string, s *Settings) (strictyaml.Positions, strictyaml.Problems) {
	if path == "" {
		return nil, nil
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, strictyaml.Problems{{File: path, Reason: err.Error()}}
	}
	if info.Size() > maxFileBytes {
		return nil, strictyaml.Problems{{File: path, Reason: fmt.Sprintf("larger than %d bytes", maxFileBytes)}}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, strictyaml.Problems{{File: path, Reason: err.Error()}}
	}
	return strictyaml.Decode(path, data, s)
}

// overrides holds the settings given by flags or the environment, by key.
type overrides struct{ values map[string]string }

// addFlags defines a flag for each scalar setting.
func addFlags(fs *flag.FlagSet, s *Settings) *overrides {
	o := &overrides{values: map[string]string{}}
	eachKey(reflect.ValueOf(s).Elem(), "", func(key string, v reflect.Value) {
		fs.Func(key, fmt.Sprintf("setting %s (default %v)", key, v.Interface()), func(text string) error {
			o.values[key] = text
			return nil
		})
	})
	return o
}

// eachKey calls f for each scalar setting of v, with its key in dotted form.
func eachKey(v reflect.Value, prefix string, f func(key string, v reflect.Value)) {
	for i := range v.NumField() {
		key := v.Type().Field(i).Tag.Get(strictyaml.Tag)
		switch field := v.Field(i); {
		case key == "":
		case strictyaml.IsScalar(field.Type()):
			f(prefix+key, field)
		case field.Kind() == reflect.Struct:
			eachKey(field, prefix+key+".", f)
		}
	}
}

// apply sets the overridden settings in s.
func (o *overrides) apply(s *Settings) strictyaml.Problems {
	var problems strictyaml.Problems
	eachKey(reflect.ValueOf(s).Elem(), "", func(key string, v reflect.Value) {
		text, ok := o.values[key]
		if !ok {
			return
		}
		if err := strictyaml.SetScalar(v, text); err != nil {
			problems = append(problems, strictyaml.Problem{File: "flag or environment", Path: key, Reason: err.Error()})
		}
	})
	return problems
}

// Keys returns the keys of all scalar settings.
func Keys() []string {
	s := Default()
	var keys []string
	eachKey(reflect.ValueOf(&s).Elem(), "", func(key string, _ reflect.Value) { keys = append(keys, key) })
	return keys
}
