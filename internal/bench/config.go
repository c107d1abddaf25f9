package bench

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/lentilstand/lentilstand/pkg/config"
)

// firstConfig returns version 1 of the configuration as JSON.
func (b *Bench) firstConfig() []byte {
	var text bytes.Buffer
	text.WriteString(`{"data_centres": [`)
	for i, name := range b.spec.DataCentres {
		fmt.Fprintf(&text, `%s{"name": %q, "region": %q}`, comma(i), name, b.spec.Region)
	}
	text.WriteString(`], "services": [`)
	for i, service := range b.spec.Services {
		fmt.Fprintf(&text, `%s{"name": %q, "kind": %q, "repeatable": %t`, comma(i), service.Name, service.Kind, service.Repeatable)
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
			fmt.Fprintf(&text, `%s{"name": %q, "service": %q}`, comma(models), service.Name, service.Name)
			models++
		}
	}
	text.WriteString(`], "teams": [`)
	for i, team := range b.spec.Teams {
		sum := sha256.Sum256([]byte(APIKey(team)))
		fmt.Fprintf(&text, `%s{"name": %q, "key_sha256": %q}`, comma(i), team, hex.EncodeToString(sum[:]))
	}
	text.WriteString(`], "endpoints": [`)
	for i, object := range b.objects {
		text.WriteString(comma(i))
		text.Write(object)
	}
	text.WriteString(`]}`)
	return text.Bytes()
}

func comma(i int) string {
	if i == 0 {
		return ""
	}
	return ", "
}
