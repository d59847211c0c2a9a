package micros

import "testing"

func TestOptionalTimestamp(t *testing.T) {
	var unknown OptionalTimestamp
	early, late := KnownTimestamp(0), KnownTimestamp(5)
	cases := map[string]struct{ got, want OptionalTimestamp }{
		"unknown plus a duration":            {unknown.Add(Second), unknown},
		"known plus a duration":              {late.Add(3), KnownTimestamp(8)},
		"later of two known":                 {late.Later(early), late},
		"later of two known, in other order": {early.Later(late), late},
		"unknown is earlier than known":      {unknown.Later(early), early},
		"known is later than unknown":        {early.Later(unknown), early},
		"two unknown":                        {unknown.Later(unknown), unknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if c.got != c.want {
				t.Errorf("got %+v, want %+v", c.got, c.want)
			}
		})
	}
	if at, known := late.Get(); at != 5 || !known {
		t.Errorf("Get() = %d, %v; want 5, true", at, known)
	}
	if unknown.Age(5) != "unknown" || early.Age(Timestamp(1500*Millisecond)) != "1.5s ago" {
		t.Errorf("ages %q and %q, want unknown and 1.5s ago", unknown.Age(5), early.Age(Timestamp(1500*Millisecond)))
	}
	if _, known := unknown.Get(); known {
		t.Error("the zero value is known")
	}
}
