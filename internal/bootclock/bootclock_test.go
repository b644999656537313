package bootclock

import (
	"testing"
	"time"
)

func TestSub(t *testing.T) {
	for name, c := range map[string]struct {
		later, earlier Time
		want           time.Duration
		ok             bool
	}{
		"same start":       {Time{"a", 5 * time.Second}, Time{"a", 3 * time.Second}, 2 * time.Second, true},
		"different starts": {Time{"b", 5 * time.Second}, Time{"a", 3 * time.Second}, 0, false},
		"earlier unknown":  {Time{"a", 5 * time.Second}, Time{}, 0, false},
		"both unknown":     {Time{}, Time{}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got, ok := c.later.Sub(c.earlier); got != c.want || ok != c.ok {
				t.Errorf("got %v, %v; want %v, %v", got, ok, c.want, c.ok)
			}
		})
	}
}

func TestNow_Advances(t *testing.T) {
	earlier := Now()
	time.Sleep(2 * time.Millisecond)
	if span, ok := Now().Sub(earlier); !ok || span < 2*time.Millisecond {
		t.Errorf("clock advanced by %v in 2 ms, known: %v", span, ok)
	}
}
