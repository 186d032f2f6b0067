package awproto

import "strings"

// Text returns s as a message can hold it: proto3 strings are UTF-8, and a message with
// other bytes cannot be encoded. Bytes from callers, backend servers and the store that
// are no UTF-8 become U+FFFD.
func Text(s string) string { return strings.ToValidUTF8(s, "\ufffd") }

func texts(list []string) []string {
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = Text(s)
	}
	return out
}
