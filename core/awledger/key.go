package awledger

import "fmt"

// Bounds of the parts of a claim's row key, in bytes.
const (
	MaxTeamBytes = 64
	MaxKeyBytes  = 128
)

// CheckTeamAndKey returns an error that states what is allowed when team or key
// cannot be part of a row key. The separator "/" is excluded, so that two
// pairs of team and key never share a row.
func CheckTeamAndKey(team, key string) error {
	if err := CheckTeam(team); err != nil {
		return err
	}
	return checkName("Idempotency-Key", key, MaxKeyBytes)
}

// CheckTeam reports whether the name of a team may stand in a row key.
func CheckTeam(team string) error { return checkName("team", team, MaxTeamBytes) }

func checkName(what, s string, most int) error {
	if s == "" || len(s) > most {
		return fmt.Errorf("%s of %d bytes is not allowed; want 1 to %d", what, len(s), most)
	}
	for i := range len(s) {
		c := s[i]
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case c == '-' || c == '_' || c == '.' || c == ':' || c == '@':
		default:
			return fmt.Errorf("%s: byte %q is not allowed; want letters, digits and - _ . : @", what, c)
		}
	}
	return nil
}

// RowKey returns the key of a claim row.
func RowKey(team, key string) string { return RowPrefix + team + "/" + key }

// The claim rows are the keys k with RowPrefix <= k < RowEnd.
const (
	RowPrefix = "claim/"
	RowEnd    = "claim0" // '0' follows '/'
)
