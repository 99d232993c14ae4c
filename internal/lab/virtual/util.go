package virtual

import (
	"errors"
	"strconv"
)

var errDown = errors.New("the list's service is down")

func digits(m int) string { return strconv.Itoa(m) }
func name(m int) string   { return "db" + strconv.Itoa(m) }
