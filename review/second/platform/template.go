package platform

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// fill fills the placeholders of a settings template as DEPLOY.md describes them, as far as the
// templates of this project use them.
func fill(template string, scope any) (string, error) {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(template, "{{")
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		name, after, closed := strings.Cut(rest, "}}")
		if !closed {
			return "", fmt.Errorf("placeholder %.20q is not closed", rest)
		}
		template = after
		section, isSection := strings.CutPrefix(name, "#")
		if !isSection {
			out.WriteString(text(scope, name))
			continue
		}
		body, behind, ended := strings.Cut(after, "{{/"+section+"}}")
		if !ended {
			return "", fmt.Errorf("section %q is not closed", section)
		}
		template = behind
		filled, err := fillSection(body, scope, section)
		if err != nil {
			return "", err
		}
		out.WriteString(filled)
	}
}

// fillSection fills a section once for each entry of a list, or once if the value is present.
func fillSection(body string, scope any, name string) (string, error) {
	value := lookup(scope, name)
	list, isList := value.([]string)
	if !isList {
		if value == nil || value == false {
			return "", nil
		}
		return fill(body, scope)
	}
	var out strings.Builder
	for i, entry := range list {
		comma := ","
		if i == len(list)-1 {
			comma = ""
		}
		filled, err := fill(strings.ReplaceAll(body, "{{,}}", comma), entry)
		if err != nil {
			return "", err
		}
		out.WriteString(filled)
	}
	return out.String(), nil
}

// text returns the text of a placeholder.
func text(scope any, name string) string {
	path, isJSON := strings.CutSuffix(name, "|json")
	value := lookup(scope, path)
	if isJSON {
		encoded, _ := json.Marshal(value)
		return string(encoded)
	}
	if value == nil {
		return ""
	}
	return fmt.Sprint(value)
}

// lookup returns the value at a path; nil for none.
func lookup(scope any, path string) any {
	if path == "." {
		return scope
	}
	for _, step := range strings.Split(path, ".") {
		switch value := scope.(type) {
		case map[string]any:
			scope = value[step]
		case []int:
			index, err := strconv.Atoi(step)
			if err != nil || index >= len(value) {
				return nil
			}
			scope = value[index]
		default:
			return nil
		}
	}
	return scope
}
