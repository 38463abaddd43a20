// Simadapter connects the policy engines of many gateways to the simulator. It reads batches of events from
// standard input and writes one reply with actions for each batch to standard output. It exits with status 0 at
// the end of the input, and with status 1 and one line on standard error after malformed input.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"amberlb/internal/wire"
)

// inputBufferSize is the size in bytes of the buffer for standard input. It is above bufio's default, since a batch can
// be several megabytes long.
const inputBufferSize = 1 << 16

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// serve replies to each batch until the input ends. It flushes each reply, since the simulator waits for the reply
// before it sends the next batch.
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
