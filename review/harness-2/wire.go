package main

import (
	_ "embed" // for the file of names
	"encoding/json"
	"fmt"
)

// wireNames is the file of the platform's names that the stand-ins and the clients speak.
//
//go:embed wire/names.json
var wireNames []byte

// wire holds the platform's names by what they stand for.
var wire = func() map[string]string {
	var names map[string]string
	if err := json.Unmarshal(wireNames, &names); err != nil {
		panic(fmt.Sprintf("names of the platform: %v", err)) // the file is part of the program
	}
	return names
}()
