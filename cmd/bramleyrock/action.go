package main

import "context"

// action is what a command does once its settings are read.
type action func(ctx context.Context, args []string) error
