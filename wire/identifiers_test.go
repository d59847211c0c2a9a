package wire

import "testing"

func TestAttemptIDHoldsFencingToken(t *testing.T) {
	first, last, next := NewAttemptID(41, 0), NewAttemptID(41, 1<<AttemptNumberBits-1), NewAttemptID(42, 0)
	for id, want := range map[AttemptID]FencingToken{first: 41, last: 41, next: 42, 3: 0} {
		if got := id.FencingToken(); got != want {
			t.Errorf("attempt %d was granted under token %d, want %d", id, got, want)
		}
	}
	if next != last+1 {
		t.Errorf("the first attempt of a term is %d, want %d", next, last+1)
	}
}
