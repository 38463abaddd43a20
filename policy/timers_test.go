package policy

import "testing"

// What SetTimer carries comes back as it was, for the limits of each field too.
func TestTimerTokenSurvivesPacking(t *testing.T) {
	for _, token := range []timerToken{
		{},
		{kind: pollEndpointsTimer},
		{kind: sendDeadlineTimer, request: 1},
		{kind: slowAttemptTimer, attempt: 3, request: 7},
		{kind: 255, attempt: 255, request: 1<<32 - 1},
	} {
		if got := unpackTimerToken(token.pack()); got != token {
			t.Errorf("%+v came back as %+v", token, got)
		}
	}
}
