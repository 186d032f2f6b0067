package awledger

import "fmt"

// Maximum lengths of the parts of a claim's row key.
const (
	MaxTeamBytes = 64
	MaxKeyBytes  = 128
)

// CheckTeamAndKey returns an error if team or key may not be part of a row key.
// The separator "/" is not allowed in either, so that two different pairs of
// team and key never share a row.
func CheckTeamAndKey(team, key string) error {
	if err := CheckTeam(team); err != nil {
		return err
	}
	return checkName("Idempotency-Key", key, MaxKeyBytes)
}

// CheckTeam returns an error if the name of a team may not be part of a row key.
func CheckTeam(team string) error { return checkName("team", team, MaxTeamBytes) }

func checkName(what, s string, maxBytes int) error {
	if s == "" || len(s) > maxBytes {
		return fmt.Errorf("%s of %d bytes is not allowed; want 1 to %d", what, len(s), maxBytes)
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

// RowKey returns the row key of the claim for an idempotency key of a team.
func RowKey(team, key string) string { return RowPrefix + team + "/" + key }

// Claim rows have the keys k with RowPrefix <= k < RowEnd.
const (
	RowPrefix = "claim/"
	RowEnd    = "claim0" // the byte after '/' is '0'
)
