// Package decoder decodes the JSON requests of callers, upstreams and the
// monitoring group. It is strict: unknown and duplicate keys, wrong types and
// out-of-range values are errors that name the field.
package decoder

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/netip"
	"time"

	"bronzedrift.example/bronzedrift/internal/validator"
)

// FieldError reports an invalid field of a request.
type FieldError struct {
	Field string
	Fault string
}

// Error implements the error interface.
func (e *FieldError) Error() string {
	return e.Field + ": " + e.Fault
}

// object decodes the members of a JSON object one after another. Its path is the
// position in the request body, empty for the body itself.
type object struct {
	path string
	dec  *json.Decoder
	seen map[string]bool
}

// readObject calls member for each key of the next object in dec. The callback
// must decode the value or return an error, such as that of unknownKey.
func readObject(dec *json.Decoder, path string, member func(o *object, key string) error) error {
	token, err := dec.Token()
	if err != nil {
		return syntaxError(path, err)
	}
	if token != json.Delim('{') {
		return &FieldError{pathOrBody(path), "must be an object"}
	}
	o := &object{path: path, dec: dec, seen: map[string]bool{}}
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return syntaxError(path, err)
		}
		key := token.(string)
		if o.seen[key] {
			return &FieldError{o.fieldPath(key), "is given twice"}
		}
		o.seen[key] = true
		if err := member(o, key); err != nil {
			return err
		}
	}
	if _, err := dec.Token(); err != nil {
		return syntaxError(path, err)
	}
	return nil
}

func pathOrBody(path string) string {
	if path == "" {
		return "body"
	}
	return path
}

func syntaxError(path string, err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return &FieldError{pathOrBody(path), "the JSON is cut off"}
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return fmt.Errorf("decoder: %w", err)
	}
	return &FieldError{pathOrBody(path), "is no valid JSON: " + err.Error()}
}

// expectEnd checks that no data follows the object.
func expectEnd(dec *json.Decoder) error {
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return &FieldError{"body", "has more after the object"}
	}
	return nil
}

func (o *object) fieldPath(key string) string {
	if o.path == "" {
		return key
	}
	return o.path + "." + key
}

func (o *object) unknownKey(key string) error {
	return &FieldError{o.fieldPath(key), "is not known"}
}

func (o *object) value(key, want string, v any) error {
	var raw json.RawMessage
	if err := o.dec.Decode(&raw); err != nil {
		return syntaxError(o.fieldPath(key), err)
	}
	if bytes.Equal(raw, []byte("null")) || json.Unmarshal(raw, v) != nil {
		return &FieldError{o.fieldPath(key), "must be " + want}
	}
	return nil
}

func (o *object) compactJSON(key string) ([]byte, error) {
	var raw json.RawMessage
	if err := o.dec.Decode(&raw); err != nil {
		return nil, syntaxError(o.fieldPath(key), err)
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, raw); err != nil {
		return nil, syntaxError(o.fieldPath(key), err)
	}
	return compact.Bytes(), nil
}

// text decodes a string of printable characters.
func (o *object) text(key string, v *string) error {
	want := fmt.Sprintf("a string of at most %d bytes without control characters", validator.MaxNameBytes)
	if err := o.value(key, want, v); err != nil {
		return err
	}
	if !validator.IsText(*v, validator.MaxNameBytes) {
		return &FieldError{o.fieldPath(key), "must be " + want}
	}
	return nil
}

// name decodes a string for which IsName is true.
func (o *object) name(key string, maxBytes int, v *string) error {
	if err := o.value(key, "a string", v); err != nil {
		return err
	}
	if !IsName(*v, maxBytes) {
		return &FieldError{o.fieldPath(key), fmt.Sprintf("must be 1 to %d letters, digits, dots, hyphens or underscores", maxBytes)}
	}
	return nil
}

// IsName reports whether s is safe as a URL path segment and as a header value:
// 1 to maxBytes letters, digits, '.', '_' and '-', and neither "." nor "..".
func IsName(s string, maxBytes int) bool {
	if s == "" || len(s) > maxBytes || s == "." || s == ".." {
		return false
	}
	for _, c := range []byte(s) {
		isLetter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		isDigit := c >= '0' && c <= '9'
		if !isLetter && !isDigit && c != '.' && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

func (o *object) integer(key string, low, high int64, v *int64) error {
	want := fmt.Sprintf("a whole number from %d to %d", low, high)
	if err := o.value(key, want, v); err != nil {
		return err
	}
	if *v < low || *v > high {
		return &FieldError{o.fieldPath(key), "must be " + want}
	}
	return nil
}

// milli decodes a number from 0 to high and stores it in thousandths.
func (o *object) milli(key string, high float64, v *int64) error {
	want := fmt.Sprintf("a number from 0 to %g", high)
	var f float64
	if err := o.value(key, want, &f); err != nil {
		return err
	}
	if math.IsNaN(f) || f < 0 || f > high {
		return &FieldError{o.fieldPath(key), "must be " + want}
	}
	*v = int64(math.Round(f * 1000))
	return nil
}

func (o *object) duration(key string, low, high time.Duration, v *time.Duration) error {
	want := fmt.Sprintf("a duration from %s to %s, such as \"200ms\"", low, high)
	var s string
	if err := o.value(key, want, &s); err != nil {
		return err
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < low || d > high {
		return &FieldError{o.fieldPath(key), "must be " + want}
	}
	*v = d
	return nil
}

func (o *object) time(key string, v *time.Time) error {
	const want = "a time as in RFC 3339, such as \"2026-12-04T10:00:00.123Z\""
	var s string
	if err := o.value(key, want, &s); err != nil {
		return err
	}
	t, err := time.Parse(time.RFC3339Nano, s)
	if err != nil {
		return &FieldError{o.fieldPath(key), "must be " + want}
	}
	*v = t
	return nil
}

func (o *object) address(key string, v *netip.AddrPort) error {
	const want = "an IP number and a port, such as \"10.0.0.1:7000\""
	var s string
	if err := o.value(key, want, &s); err != nil {
		return err
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil || !validator.IsDialable(a) {
		return &FieldError{o.fieldPath(key), "must be " + want}
	}
	*v = a
	return nil
}

func (o *object) names(key string, maxBytes, maxCount int, v *[]string) error {
	want := fmt.Sprintf("a list of at most %d names", maxCount)
	if err := o.value(key, want, v); err != nil {
		return err
	}
	if len(*v) > maxCount {
		return &FieldError{o.fieldPath(key), "must be " + want}
	}
	for i, s := range *v {
		if !IsName(s, maxBytes) {
			return &FieldError{fmt.Sprintf("%s[%d]", o.fieldPath(key), i), "must be a name"}
		}
	}
	return nil
}
