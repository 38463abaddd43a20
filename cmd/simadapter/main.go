// Simadapter runs the policy engines of many gateways on the simulator's wire: batches of events on
// standard input, one reply to each on standard output. It exits with status 0 at the end of the input, and
// with status 1 and one line on standard error after malformed input.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"amberlb/internal/wire"
)

// inputBufferSize is the size of reads from standard input; batches can run to megabytes.
const inputBufferSize = 1 << 16

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// serve answers each batch until the input ends. Each reply is flushed, since the simulator waits for it.
func serve(in io.Reader, out io.Writer) error {
	decoder := wire.NewDecoder(bufio.NewReaderSize(in, inputBufferSize))
	writer := bufio.NewWriter(out)
	host := newHost()
	var reply wire.Reply
	for {
		batch, err := decoder.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := host.handleBatch(batch, &reply); err != nil {
			return &wire.BatchError{Seq: batch.Seq, Err: err}
		}
		if _, err := writer.Write(reply.Bytes()); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}
