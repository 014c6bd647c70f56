package pollenteam

import (
	"strings"

	"pollenline.example/pollen/pollencatalog"
)

// KeyScheme is the authentication scheme of the requests that carry a key.
const KeyScheme = "Bearer"

// KeyError reports a request that needs a key and has none that is known. It does not hold the key.
type KeyError struct {
	// Unknown is set if the key is well-formed, so that a newer configuration may have it.
	Unknown bool
}

func (e *KeyError) Error() string {
	if e.Unknown {
		return "key is not known"
	}
	return "request needs one key, of the scheme " + KeyScheme
}

// Find returns the team that holds the key in the authorization fields of a request, or nil if the request needs no key. Its error
// is a *KeyError.
func Find(configuration *pollencatalog.Configuration, route *pollencatalog.Route, fields []string) (*pollencatalog.Team, error) {
	if len(configuration.Teams) == 0 || route.Public {
		return nil, nil
	}
	key, ok := parseKey(fields)
	if !ok {
		return nil, &KeyError{}
	}
	team, ok := configuration.TeamByKey(key)
	if !ok {
		return nil, &KeyError{Unknown: true}
	}
	return team, nil
}

// parseKey returns the key in authorization fields, or false if they don't hold exactly one that is well-formed.
func parseKey(fields []string) (string, bool) {
	if len(fields) != 1 {
		return "", false
	}
	scheme, key, _ := strings.Cut(strings.Trim(fields[0], " \t"), " ")
	key = strings.TrimLeft(key, " ")
	return key, strings.EqualFold(scheme, KeyScheme) && pollencatalog.UsableKey(key)
}
