// Package codec decodes msgpack that other processes have written.
package codec

import (
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// Unmarshal decodes data into the value that into points to. Unknown fields are ignored. Unlike the library's function it returns an error
// where the library panics, as it does for a nil in place of a time, or allocates by lengths that the data merely announces. Errors:
// ErrMalformed, ErrTooDeep, and those of the library.
func Unmarshal(data []byte, into any) (err error) {
	if err := validate(data); err != nil {
		return err
	}
	defer func() {
		if cause := recover(); cause != nil {
			err = eris.Errorf("malformed msgpack: %v", cause)
		}
	}()
	return msgpack.Unmarshal(data, into)
}
