package concert

import (
	"encoding/json"

	"cobaltward/fleet/owner"
)

// encode is a receiver's memory as its disk has it.
func encode(m owner.Memory) []byte {
	raw, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return raw
}

func decode(raw []byte, to *owner.Memory) {
	if err := json.Unmarshal(raw, to); err != nil {
		panic(err)
	}
}
