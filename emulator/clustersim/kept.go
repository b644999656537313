package clustersim

import (
	"encoding/json"

	"cobaltward/fleet/lease"
)

// encode is a receiver's memory as its disk has it.
func encode(m lease.ReceiverState) []byte {
	raw, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return raw
}

func decode(raw []byte, to *lease.ReceiverState) {
	if err := json.Unmarshal(raw, to); err != nil {
		panic(err)
	}
}
