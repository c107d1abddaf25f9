package bench

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/lentilstand/lentilstand/pkg/config"
)

// initialConfig returns version 1 of the configuration as JSON.
func (b *Bench) initialConfig() []byte {
	var text bytes.Buffer
	text.WriteString(`{"data_centres": [`)
	for i, name := range b.spec.DataCentres {
		fmt.Fprintf(&text, `%s{"name": %q, "region": %q}`, separator(i), name, b.spec.Region)
	}
	text.WriteString(`], "services": [`)
	for i, service := range b.spec.Services {
		fmt.Fprintf(&text, `%s{"name": %q, "kind": %q, "repeatable": %t`, separator(i), service.Name, service.Kind, service.Repeatable)
		if service.PathPrefix != "" {
			fmt.Fprintf(&text, `, "path_prefix": %q`, service.PathPrefix)
		}
		if service.ExtraFields != "" {
			text.WriteString(", " + service.ExtraFields)
		}
		text.WriteString("}")
	}
	text.WriteString(`], "models": [`)
	models := 0
	for _, service := range b.spec.Services {
		if service.Kind == config.KindModel {
			fmt.Fprintf(&text, `%s{"name": %q, "service": %q}`, separator(models), service.Name, service.Name)
			models++
		}
	}
	text.WriteString(`], "teams": [`)
	for i, team := range b.spec.Teams {
		sum := sha256.Sum256([]byte(APIKey(team)))
		fmt.Fprintf(&text, `%s{"name": %q, "key_sha256": %q}`, separator(i), team, hex.EncodeToString(sum[:]))
	}
	text.WriteString(`], "endpoints": [`)
	for i, endpoint := range b.endpoints {
		text.WriteString(separator(i))
		text.Write(endpoint)
	}
	text.WriteString(`]}`)
	return text.Bytes()
}

// separator returns what precedes element i of a JSON array.
func separator(i int) string {
	if i == 0 {
		return ""
	}
	return ", "
}
