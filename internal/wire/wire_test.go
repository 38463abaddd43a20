package wire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"strings"
	"testing"

	"amberlb/policy"
)

// decodeHex decodes hexadecimal digits and ignores white space.
func decodeHex(t testing.TB, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// emptyBatch is the example of a batch without records in the protocol's specification.
const emptyBatch = "4020d3126e978d50 00000008 00000000 00000001"

func TestDecodeEvents(t *testing.T) {
	in := decodeHex(t, `4020d3126e978d50 00000046 00000005 0000000c
		1c 00000003
		12 5d3a91c4 3f800000 0000 91f03b7c55d20a64 40400000 40000000 01 0000 40214df3b645a1cb
		16 000000000000004d
		1c 00000005
		15 0e6f2b19`)
	b, err := NewDecoder(bytes.NewReader(in)).Next()
	if err != nil {
		t.Fatal(err)
	}
	if b.Seq != 12 || len(b.Records) != 3 {
		t.Fatalf("batch %d with %d records, want batch 12 with 3", b.Seq, len(b.Records))
	}
	r := b.Records[0].Event.(policy.Request)
	want := policy.Request{ID: 0x5d3a91c4, FirstGateway: 1, Customer: 0x91f03b7c55d20a64, Gateways: 3, Units: 2,
		Deadline: r.Deadline}
	if r != want || r.Deadline <= b.Now || r.Deadline > b.Now+1 {
		t.Errorf("got %+v", r)
	}
	if b.Records[1].Event != (policy.TimerFired{Token: 0x4d}) || b.Records[2].Instance != 5 ||
		b.Records[2].Event != (policy.ClientDisconnected{Request: 0x0e6f2b19}) {
		t.Errorf("got %+v", b.Records[1:])
	}
}

// A list number can be defined again within a batch. Each update must refer to the latest definition before it.
func TestEndpointUpdateRefersToLatestList(t *testing.T) {
	first := "1b 00000000 00000001 03124a07 00 0000 0000 01 3f800000 0000000000000000"
	second := "1b 00000000 00000001 2c9011f2 01 0000 0000 02 3fc00000 4018666666666666"
	update := "11 01 00000029 00000000"
	in := decodeHex(t, "4020d3126e978d50 00000063 00000005 00000001 1c 00000003"+first+update+second+update)
	in[11] = byte(len(in) - 12)
	b, err := NewDecoder(bytes.NewReader(in)).Next()
	if err != nil {
		t.Fatal(err)
	}
	firstUpdate := b.Records[0].Event.(policy.EndpointsUpdated)
	secondUpdate := b.Records[1].Event.(policy.EndpointsUpdated)
	if e := firstUpdate.Entries[0]; e.ID != 0x03124a07 || e.State != policy.Ready || firstUpdate.Kind != policy.DeltaList {
		t.Errorf("first list %+v", firstUpdate)
	}
	if e := secondUpdate.Entries[0]; e.ID != 0x2c9011f2 || e.State != policy.Draining || e.Weight != 1.5 || e.StartedAt < 6 {
		t.Errorf("second list %+v", secondUpdate)
	}
}

func TestDecodeAttemptEndAndCounterReply(t *testing.T) {
	in := decodeHex(t, `4020d3126e978d50 00000000 00000003 00000001 1c 00000003
		14 5d3a91c4 00 03124a07 00 3f92f1a9fbe76c8b 01 0056 0003 02 40e0000040400000
		1a 000000000089f690 00 42180000 3f619ce075f6fd22`)
	in[11] = byte(len(in) - 12)
	b, err := NewDecoder(bytes.NewReader(in)).Next()
	if err != nil {
		t.Fatal(err)
	}
	e := b.Records[0].Event.(policy.AttemptEnded)
	if e.Outcome != policy.Served || !e.RequestOver || e.QuotaUse != 0x56 || e.ActualUnits != 3 ||
		len(e.LoadReport) != 2 || e.LoadReport[0] != 7 {
		t.Errorf("got %+v", e)
	}
	if c := b.Records[1].Event.(policy.CounterReply); c.Name != 0x89f690 || c.Total != 38 {
		t.Errorf("got %+v", c)
	}
}

func TestEncodeReply(t *testing.T) {
	var r Reply
	r.Reset(12)
	err := r.Add(3, []policy.Action{policy.SendAttempt{Request: 0x5d3a91c4, Backend: 0x03124a07, Timeout: 0.08},
		policy.SetTimer{Delay: 0.5, Token: 0x4d}})
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Add(5, []policy.Action{policy.Log{Text: "two servers known"}}); err != nil {
		t.Fatal(err)
	}
	want := decodeHex(t, `00000048 00000005 0000000c 57 00000003 5b 5d3a91c4 3fb47ae147ae147b 03124a07
		52 3fe0000000000000 000000000000004d 57 00000005 5c 0011 74776f2073657276657273206b6e6f776e`)
	if !bytes.Equal(r.Bytes(), want) {
		t.Errorf("got  %x\nwant %x", r.Bytes(), want)
	}
	r.Reset(1)
	if want := decodeHex(t, "00000008 00000000 00000001"); !bytes.Equal(r.Bytes(), want) {
		t.Errorf("empty reply %x", r.Bytes())
	}
}

// Each kind of malformed input has an error of its own, whose text names the fault.
func TestMalformedInputIsAnError(t *testing.T) {
	for name, c := range map[string]struct {
		in   string
		text string
		kind error // nil: only the text is checked
	}{
		"truncated header": {"4020d3126e978d50 0000", "within a batch header", ErrTruncatedHeader},
		"length too small": {"4020d3126e978d50 00000004 00000000 00000001", "invalid frame length", LengthError(4)},
		"length too large": {"4020d3126e978d50 ffffffff 00000000 00000001", "invalid frame length",
			LengthError(0xffffffff)},
		"truncated frame": {"4020d3126e978d50 00000020 00000001 00000001 1c", "within the frame", ErrTruncatedFrame},
		"unknown code": {"4020d3126e978d50 0000000e 00000002 00000001 1c 00000003 63",
			"unknown record code", ErrUnknownCode},
		"truncated record": {"4020d3126e978d50 0000000b 00000001 00000001 1c 0000",
			"past the end of the frame", ErrTruncatedRecord},
		"no instance named": {"4020d3126e978d50 00000011 00000001 00000001 16 000000000000004d",
			"no earlier record of the batch names an instance", ErrNoInstance},
		"trailing byte": {"4020d3126e978d50 00000009 00000000 00000001 00", "follow the last record",
			TrailingBytesError(1)},
		"undefined list": {"4020d3126e978d50 00000017 00000002 00000001 1c 00000003 11 00 00000029 00000004", "not defined",
			UndefinedListError(4)},
		"malformed settings": {"4020d3126e978d50 0000001c 00000002 00000001 1c 00000003 10 0000000000000001 00000002 7b7b",
			"settings", nil},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := NewDecoder(bytes.NewReader(decodeHex(t, c.in))).Next()
			if err == nil || !strings.Contains(err.Error(), c.text) {
				t.Errorf("error %v, want one that contains %q", err, c.text)
			}
			if c.kind != nil && !errors.Is(err, c.kind) {
				t.Errorf("error %v, want one that wraps %q", err, c.kind)
			}
		})
	}
}

// Input that ends between batches is complete: Next returns io.EOF.
func TestEndOfInputBetweenBatches(t *testing.T) {
	d := NewDecoder(bytes.NewReader(decodeHex(t, emptyBatch)))
	if b, err := d.Next(); err != nil || len(b.Records) != 0 {
		t.Errorf("empty batch: %v %v", b, err)
	}
	if _, err := d.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("at the end: %v", err)
	}
}

func TestSettingsAreTranslated(t *testing.T) {
	s, err := ParseSettings([]byte(`{"unknownKey": 1, "discovery": "ask", "clients": {"marksRetry": true},
		"classes": [{"objectiveS": 0.8, "deadlineS": 2, "points": 3, "effect": "by_key", "keyScope": "cell", "windowS": 5}],
		"packages": [{"pays": 0.5, "unitsPerS": 2, "depth": 4, "atOnce": 3, "neverOverRate": 9}],
		"loadReport": {"fields": ["x9", "pending"], "how": "inline"}, "allowed": {"mostTries": 4}}`))
	if err != nil {
		t.Fatal(err)
	}
	c, p := s.Classes[0], s.Plans[0]
	if c.Idempotency != policy.IdempotentByKey || c.DedupeScope != policy.ScopeCell || c.LatencyObjective != 0.8 ||
		c.DedupeWindow != 5 || c.PriorityWeight != 3 {
		t.Errorf("class %+v", c)
	}
	if p.WeightFactor != 0.5 || p.Rate != 2 || p.Burst != 4 || p.MaxConcurrent != 3 || p.CeilingRate != 9 {
		t.Errorf("plan %+v", p)
	}
	if !s.PollDiscovery || !s.ClientsMarkRetries || !s.LoadInline || s.MaxAttempts != 4 || s.LoadFields[0] != policy.LoadOther ||
		s.LoadFields[1] != policy.LoadQueued {
		t.Errorf("settings %+v", s)
	}
	s, err = ParseSettings([]byte(`{"classes": [{}], "packages": [{}], "clients": {"marksRetry": false}}`))
	if err != nil || s.ClientsMarkRetries {
		t.Errorf("clients that don't mark retries: error %v, settings %+v", err, s)
	}
	var unknown *UnknownNameError
	if _, err := ParseSettings([]byte(`{"classes": [{"effect": "thrice"}], "packages": [{}]}`)); !errors.As(err, &unknown) {
		t.Errorf("unknown effect: error %v, want an UnknownNameError", err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(decodeHex(f, emptyBatch))
	f.Add(decodeHex(f, "4020d3126e978d50 0000000e 00000002 00000001 1c 00000003 19"))
	f.Fuzz(func(t *testing.T, in []byte) {
		d := NewDecoder(bytes.NewReader(in))
		for {
			if _, err := d.Next(); err != nil {
				return
			}
		}
	})
}
