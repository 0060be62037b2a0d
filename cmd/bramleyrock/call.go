package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	rock "bramleyrock"
	"bramleyrock/io/client"
	"bramleyrock/io/conf"

	"github.com/spf13/cobra"
)

func (a *app) call() *cobra.Command {
	c := &cobra.Command{
		Use:   "call POOL JSON",
		Short: "Send one request to a pool and print its answer",
		Args:  cobra.ExactArgs(2),
	}
	return a.command(c, func(s *conf.Set) action {
		x := callerAccess(s)
		output := outputSetting(s)
		urgent := s.Bool("urgent", "go before normal requests")
		idempotent := s.Bool("idempotent", "the request may be run twice")
		key := s.String("key", "", "idempotency key that joins retries", "", nil)
		deadline := s.Duration("deadline", 10*time.Second, time.Millisecond, time.Hour, "time in which the answer is of use")
		return func(ctx context.Context, args []string) error {
			if !json.Valid([]byte(args[1])) {
				return usageError{errors.New("call: the payload is not JSON")}
			}
			answer, err := x.client().Call(ctx, args[0], client.Request{
				Payload:        json.RawMessage(args[1]),
				TimeoutMS:      deadline.Milliseconds(),
				Class:          classOf(*urgent),
				Idempotent:     *idempotent,
				IdempotencyKey: *key,
			})
			if err != nil {
				return fmt.Errorf("%w (verdict %s)", err, rock.VerdictOf(err))
			}
			if *output == "json" {
				return printJSON(a.out, answer)
			}
			_, err = fmt.Fprintln(a.out, string(answer.Payload))
			return err
		}
	})
}

// classOf returns the queueing class.
func classOf(urgent bool) rock.Class {
	if urgent {
		return rock.Urgent
	}
	return rock.Normal
}
