package wire

import "amberlb/policy"

// flagRetry is the bit in a request's flags that marks the request as a client's retry.
const flagRetry = 2

// outcomesByCode maps the codes of the outcomes of attempts, probes and counter calls. Other values are malformed.
var outcomesByCode = map[uint8]policy.Outcome{
	0:   policy.Served,
	255: policy.Failed,
	254: policy.Rejected,
	253: policy.TimedOut,
	252: policy.ConnectFailed,
	251: policy.ConnectionReset,
	250: policy.Cancelled,
	249: policy.NotSent,
}

// decodeRecords decodes the records of a frame. Records that define an endpoint list or name an instance are
// processed here. All other records are returned, in order, each with the instance that was named last.
func (d *Decoder) decodeRecords(body []byte, count uint32) ([]Record, error) {
	c := &cursor{remaining: body}
	var records []Record
	var instance uint32
	instanceNamed := false
	for i := range count {
		code := c.u8()
		if c.truncated {
			return nil, &RecordError{Index: i, Code: noCode, Err: ErrTruncatedRecord}
		}
		record, err := d.decodeRecord(c, code)
		if c.truncated {
			err = ErrTruncatedRecord
		}
		if err != nil {
			return nil, &RecordError{Index: i, Code: int(code), Err: err}
		}
		switch code {
		case codeInstanceEvents:
			instance = record.Instance
			instanceNamed = true
		case codeDefineEndpointList:
		default:
			if !instanceNamed {
				return nil, &RecordError{Index: i, Code: int(code), Err: ErrNoInstance}
			}
			record.Instance = instance
			records = append(records, record)
		}
	}
	if len(c.remaining) > 0 {
		return nil, TrailingBytesError(len(c.remaining))
	}
	return records, nil
}

// decodeRecord decodes the fields of one record. The caller must discard the results if c.truncated is set afterwards.
func (d *Decoder) decodeRecord(c *cursor, code uint8) (Record, error) {
	switch code {
	case codeInstanceEvents:
		return Record{Instance: c.u32()}, nil
	case codeDefineEndpointList:
		return Record{}, d.defineEndpointList(c)
	case codeStartInstance:
		return c.decodeInstanceStart()
	case codeStopInstance:
		return Record{Stop: true}, nil
	case codeEndpointUpdate:
		event, err := d.decodeEndpointUpdate(c)
		return Record{Event: event}, err
	}
	event, err := c.decodeEvent(code)
	return Record{Event: event}, err
}

func (c *cursor) decodeInstanceStart() (Record, error) {
	seed := c.u64()
	text := c.take(int(c.u32()))
	if c.truncated {
		return Record{}, nil
	}
	settings, err := ParseSettings(text)
	return Record{Start: &InstanceStart{Seed: seed, Settings: settings}}, err
}

// decodeEvent decodes an event that refers to no endpoint list.
func (c *cursor) decodeEvent(code uint8) (policy.Event, error) {
	switch code {
	case codeRequest:
		return c.decodeRequest(), nil
	case codeResponseStarted:
		return c.decodeResponseStarted(), nil
	case codeAttemptEnd:
		return c.decodeAttemptEnd()
	case codeClientDisconnected:
		return policy.ClientDisconnected{Request: policy.RequestID(c.u32())}, nil
	case codeTimerFired:
		return policy.TimerFired{Token: c.u64()}, nil
	case codeProbeResult:
		return c.decodeProbeResult()
	case codePeerMessage:
		return c.decodePeerMessage(), nil
	case codeCounterReply:
		return c.decodeCounterReply()
	}
	return nil, ErrUnknownCode
}

func (c *cursor) decodeRequest() policy.Event {
	request := policy.Request{
		ID:           policy.RequestID(c.u32()),
		FirstGateway: int(c.f32()),
		Plan:         int(c.u16()),
		Customer:     policy.CustomerID(c.u64()),
		Gateways:     int(c.f32()),
		Units:        c.f32(),
	}
	request.IsRetry = c.u8()&flagRetry != 0
	request.Class = int(c.u16())
	request.Deadline = c.f64()
	return request
}

func (c *cursor) decodeResponseStarted() policy.Event {
	return policy.ResponseStarted{
		Request: policy.RequestID(c.u32()),
		Backend: policy.BackendID(c.u32()),
		Latency: c.f64(),
		Attempt: int(c.u8()),
	}
}

func (c *cursor) decodeAttemptEnd() (policy.Event, error) {
	end := policy.AttemptEnded{
		Request: policy.RequestID(c.u32()),
		Attempt: int(c.u8()),
		Backend: policy.BackendID(c.u32()),
	}
	var err error
	end.Outcome, err = c.decodeOutcome()
	end.Latency = c.f64()
	end.RequestOver = c.u8() != 0
	end.QuotaUse = int(c.u16())
	end.ActualUnits = float64(c.u16())
	end.LoadReport = c.decodeLoadReport()
	return end, err
}

func (c *cursor) decodeProbeResult() (policy.Event, error) {
	result := policy.ProbeEnded{Backend: policy.BackendID(c.u32())}
	var err error
	result.Outcome, err = c.decodeOutcome()
	result.Latency = c.f64()
	result.LoadReport = c.decodeLoadReport()
	return result, err
}

// decodePeerMessage decodes a peer message. It copies the data, since the buffer of the frame is reused.
func (c *cursor) decodePeerMessage() policy.Event {
	from := int(c.u32())
	data := c.take(int(c.u16()))
	return policy.PeerMessage{From: from, Data: append([]byte(nil), data...)}
}

func (c *cursor) decodeCounterReply() (policy.Event, error) {
	reply := policy.CounterReply{Name: c.u64()}
	var err error
	reply.Outcome, err = c.decodeOutcome()
	reply.Total = c.f32()
	reply.Latency = c.f64()
	return reply, err
}

func (c *cursor) decodeOutcome() (policy.Outcome, error) {
	code := c.u8()
	outcome, known := outcomesByCode[code]
	if !known && !c.truncated {
		return outcome, &UnknownValueError{"outcome", code}
	}
	return outcome, nil
}

// decodeLoadReport decodes a backend's load report. It returns nil if the record includes none.
func (c *cursor) decodeLoadReport() []float64 {
	count := int(c.u8())
	if count == 0 {
		return nil
	}
	if count*4 > len(c.remaining) {
		c.truncated = true
		return nil
	}
	values := make([]float64, count)
	for i := range values {
		values[i] = c.f32()
	}
	return values
}
