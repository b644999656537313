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

// parseCell parses the number of a cell.
func parseCell(value *structpb.Value) (int64, error) {
	number, err := parseNumber(value)
	if err != nil || number != math.Trunc(number) || math.Abs(number) >= maxMetadataInt {
		return 0, fmt.Errorf("want a whole number, got %v", value.AsInterface())
	}
	return int64(number), nil
}

// parseStarted parses a start time in Unix milliseconds. 0 is the zero time.
func parseStarted(value *structpb.Value) (time.Time, error) {
	number, err := parseNumber(value)
	if err != nil || !(number >= 0 && number < maxMetadataInt) { // this form also rejects NaN
		return time.Time{}, fmt.Errorf("want Unix milliseconds, got %v", value.AsInterface())
	}
	if number == 0 {
		return time.Time{}, nil
	}
	return time.UnixMilli(int64(number)), nil
}

// errNotNumeric is returned for a value that is neither a number nor the text of a number.
var errNotNumeric = errors.New("not a number")

// parseNumber returns the value of a number. The number may be sent as a string, as is common for large numbers. A
// value of another kind must not pass for 0, because 0 is a valid cell and a valid start time.
func parseNumber(value *structpb.Value) (float64, error) {
	switch kind := value.GetKind().(type) {
	case *structpb.Value_NumberValue:
		return kind.NumberValue, nil
	case *structpb.Value_StringValue:
		return strconv.ParseFloat(kind.StringValue, 64)
	default:
		return 0, errNotNumeric
	}
}
