package main

import (
	"io"
)

func capacity(out io.Writer, docs string) error { return nil }
