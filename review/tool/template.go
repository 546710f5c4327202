package main

import (
	"fmt"
	"regexp"
	"sort"
	"strings"
)

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// render fills in the deploy file's template of the settings.
func render(text string, fields map[string]any) string {
	text = sectionPattern.ReplaceAllStringFunc(text, func(s string) string {
		parts := sectionPattern.FindStringSubmatch(s)
		table, ok := lookUp(fields, parts[1]).(map[string]any)
		if !ok {
			panic("section is no table: " + parts[1])
		}
		keys := make([]string, 0, len(table))
		for k := range table {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		var out strings.Builder
		for i, k := range keys {
			comma := ","
			if i == len(keys)-1 {
				comma = ""
			}
			out.WriteString(strings.NewReplacer("{{@}}", k, "{{,}}", comma).Replace(parts[2]))
		}
		return out.String()
	})
	return valuePattern.ReplaceAllStringFunc(text, func(s string) string {
		return toText(lookUp(fields, s[2:len(s)-2]))
	})
}

func lookUp(v any, path string) any {
	for _, part := range strings.Split(path, ".") {
		switch w := v.(type) {
		case map[string]any:
			v = w[part]
		case []any:
			var i int
			if _, err := fmt.Sscan(part, &i); err != nil || i >= len(w) {
				return nil
			}
			v = w[i]
		default:
			return nil
		}
	}
	return v
}

func toText(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case []any:
		parts := make([]string, 0, len(v))
		for _, e := range v {
			parts = append(parts, toText(e))
		}
		return strings.Join(parts, ",")
	default:
		return fmt.Sprint(v)
	}
}
