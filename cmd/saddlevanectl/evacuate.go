// Copyright 2026 The saddlevane Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"saddlevane/models/job"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// evacuate returns the command that requests or withdraws the evacuation of a failure domain.
func (t *tool) evacuate() *ffcli.Command {
	withdraw := false
	c := t.command("evacuate", "DOMAIN", "keeps new tasks off a failure domain; running tasks end by themselves. \"cell\" shows what is evacuated",
		"evacuate -withdraw amman-a", func(ctx context.Context, args []string) error {
			if len(args) != 1 || args[0] == "" {
				return usageError("evacuate: want a failure domain")
			}
			method := http.MethodPut
			if withdraw {
				method = http.MethodDelete
			}
			return t.sendJobRequest(ctx, method, "/v1/evacuations/"+url.PathEscape(args[0]), nil)
		})
	c.FlagSet.BoolVar(&withdraw, "withdraw", false, "let tasks be started in the failure domain again")
	return c
}

// printEvacuations prints the evacuated failure domains. The holder knows how many tasks still run
// there.
func (t *tool) printEvacuations(s job.CellStatus) {
	if !s.Holds || len(s.Evacuations) == 0 {
		return
	}
	table := t.table("EVACUATED", "SINCE", "TASKS LEFT")
	for _, e := range s.Evacuations {
		table.row(e.Domain, e.Since.Format(time.RFC3339), e.Tasks)
	}
	table.flush()
}
