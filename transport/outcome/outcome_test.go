package outcome

import "testing"

func TestParseLoadReport(t *testing.T) {
	names := []string{"util", "queue"}
	if got := ParseLoadReport("inflight=7, queue=2,util=0.61", names); got[0] != 0.61 || got[1] != 2 {
		t.Errorf("got %v, want [0.61 2]", got)
	}
	for _, text := range []string{
		"", "util=x,,=", "util=0.5", "util=NaN,queue=1", "util=Inf,queue=1",
		"util=0.5,queue=-1", "util=0.5,queue=1e300", "util=0.5,util=0.6,queue=1", "util=0.5,queue=1,x=?",
	} {
		if got := ParseLoadReport(text, names); got != nil {
			t.Errorf("%q: got %v, want nil", text, got)
		}
	}
}
