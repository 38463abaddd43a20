package policy

import "testing"

// A token that is packed for SetTimer unpacks to the same value, even if its fields have their largest values.
func TestTimerTokenSurvivesPacking(t *testing.T) {
	for _, token := range []timerToken{
		{},
		{kind: pollEndpointsTimer},
		{kind: sendDeadlineTimer, request: 1},
		{kind: slowAttemptTimer, attempt: 3, request: 7},
		{kind: 255, attempt: 255, request: 1<<32 - 1},
	} {
		if got := unpackTimerToken(token.pack()); got != token {
			t.Errorf("%+v was unpacked as %+v", token, got)
		}
	}
}
