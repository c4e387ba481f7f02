package checker

// Entry is a part of a configuration that is compared as a whole: a route, a service,
// a team or a section of settings.
type Entry struct {
	Position
	Kind, Name string
	// Pattern identifies an entry whose name is empty or not unique.
	Pattern string
	// Fields are sorted by key; fields with their default value are left out.
	Fields []Field
}

// Field is one field of an entry with its value as text.
type Field struct {
	Key, Value string
}

// Change tells how an entry differs.
type Change string

// Changes of an entry.
const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)

// Difference is an entry that differs between two configurations.
type Difference struct {
	Change     Change
	Kind, Name string
	// Line is that of the new entry, or of the old one if it was removed.
	Line int
	// Fields are the fields that differ of an entry that was changed.
	Fields []FieldDifference
}

// FieldDifference is a field that differs; From or To is empty if it is absent there.
type FieldDifference struct {
	Key, From, To string
}

// Compare returns the entries that differ, in the order of the new configuration and
// then the removed ones in the order of the old. Entries are paired by name if the name
// is unique in both configurations, otherwise by pattern.
func Compare(oldEntries, newEntries []Entry) []Difference {
	pairs := make([]int, len(newEntries)) // index of the old entry + 1
	taken := make([]bool, len(oldEntries))
	pairUp(oldEntries, newEntries, pairs, taken, func(e *Entry) string { return e.Name })
	pairUp(oldEntries, newEntries, pairs, taken, func(e *Entry) string { return e.Pattern })
	var differences []Difference
	for i := range newEntries {
		e := &newEntries[i]
		if pairs[i] == 0 {
			differences = append(differences, describe(e, Added))
			continue
		}
		if fields := compareFields(oldEntries[pairs[i]-1].Fields, e.Fields); len(fields) > 0 {
			d := describe(e, Changed)
			d.Fields = fields
			differences = append(differences, d)
		}
	}
	for i := range oldEntries {
		if !taken[i] {
			differences = append(differences, describe(&oldEntries[i], Removed))
		}
	}
	return differences
}

func describe(e *Entry, change Change) Difference {
	name := e.Name
	if name == "" {
		name = e.Pattern
	}
	return Difference{Change: change, Kind: e.Kind, Name: name, Line: e.Line}
}

// pairUp pairs the entries without a partner whose kind and identity are equal and
// unique among them on both sides.
func pairUp(oldEntries, newEntries []Entry, pairs []int, taken []bool, identity func(*Entry) string) {
	type key struct{ kind, id string }
	oldIndex, newCount := map[key]int{}, map[key]int{}
	for i := range oldEntries {
		if taken[i] {
			continue
		}
		k := key{oldEntries[i].Kind, identity(&oldEntries[i])}
		if _, ok := oldIndex[k]; ok {
			oldIndex[k] = -1
			continue
		}
		oldIndex[k] = i
	}
	for i := range newEntries {
		if pairs[i] == 0 {
			newCount[key{newEntries[i].Kind, identity(&newEntries[i])}]++
		}
	}
	for i := range newEntries {
		k := key{newEntries[i].Kind, identity(&newEntries[i])}
		old, ok := oldIndex[k]
		if pairs[i] != 0 || k.id == "" || newCount[k] > 1 || !ok || old < 0 {
			continue
		}
		pairs[i], taken[old] = old+1, true
	}
}

// compareFields merges two sorted lists of fields.
func compareFields(from, to []Field) []FieldDifference {
	var differences []FieldDifference
	for len(from) > 0 || len(to) > 0 {
		switch {
		case len(to) == 0 || len(from) > 0 && from[0].Key < to[0].Key:
			differences = append(differences, FieldDifference{Key: from[0].Key, From: from[0].Value})
			from = from[1:]
		case len(from) == 0 || to[0].Key < from[0].Key:
			differences = append(differences, FieldDifference{Key: to[0].Key, To: to[0].Value})
			to = to[1:]
		default:
			if from[0].Value != to[0].Value {
				differences = append(differences, FieldDifference{Key: to[0].Key, From: from[0].Value, To: to[0].Value})
			}
			from, to = from[1:], to[1:]
		}
	}
	return differences
}
