package benchkit

import (
	"testing"
	"time"
)

func TestQuantile(t *testing.T) {
	values := []time.Duration{50, 10, 40, 20, 30}
	for _, test := range []struct {
		part float64
		want time.Duration
	}{{0, 10}, {0.5, 30}, {0.99, 40}, {1, 50}} {
		if got := Quantile(values, test.part); got != test.want {
			t.Errorf("Quantile(%v, %v) = %v, want %v", values, test.part, got, test.want)
		}
	}
	if values[0] != 50 {
		t.Errorf("Quantile sorted its argument: %v", values)
	}
	if got := Quantile(nil, 0.5); got != 0 {
		t.Errorf("Quantile of no values = %v, want 0", got)
	}
}
