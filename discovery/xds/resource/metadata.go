package resource

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"google.golang.org/protobuf/types/known/structpb"
)

// maxMetadataInt is the exclusive upper bound of numbers in metadata. Numbers in metadata are doubles, and larger
// integers are not exact as doubles.
const maxMetadataInt = 1 << 53

func parseKind(value *structpb.Value) (string, error) {
	if value.GetStringValue() == "" {
		return "", errors.New("want a text")
	}
	return value.GetStringValue(), nil
}

func parseCell(value *structpb.Value) (int64, error) {
	number := value.GetNumberValue()
	if number != math.Trunc(number) || math.Abs(number) >= maxMetadataInt {
		return 0, fmt.Errorf("want a whole number, got %v", value.AsInterface())
	}
	return int64(number), nil
}

// parseStarted parses a start time in Unix milliseconds. The value is a number or, as is common for large numbers, a
// string. 0 is the zero time.
func parseStarted(value *structpb.Value) (time.Time, error) {
	number := value.GetNumberValue()
	if text := value.GetStringValue(); text != "" {
		var err error
		if number, err = strconv.ParseFloat(text, 64); err != nil {
			return time.Time{}, fmt.Errorf("want Unix milliseconds, got %q", text)
		}
	}
	if !(number >= 0 && number < maxMetadataInt) { // this form also rejects NaN
		return time.Time{}, fmt.Errorf("want Unix milliseconds, got %v", value.AsInterface())
	}
	if number == 0 {
		return time.Time{}, nil
	}
	return time.UnixMilli(int64(number)), nil
}
