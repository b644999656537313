package framing

import "testing"

func BenchmarkGuard_Head(b *testing.B) {
	raw := []byte("POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: 9b1f03aa5c7e2d41\r\n" +
		"X-Class: checkout\r\nX-Tenant: acme\r\nX-Key: 7f3a9c21e0b4d655\r\nX-Deadline-Ms: 480\r\n" +
		"Idempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\nContent-Length: 4\r\n\r\nabcd")
	var guard Guard
	b.ReportAllocs()
	for b.Loop() {
		if guard.Check(raw) != len(raw) {
			b.Fatal(guard.Problem())
		}
	}
}
