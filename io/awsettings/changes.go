package awsettings

import "reflect"

// ReloadedKeys returns the keys of awgateway whose changes take effect when the settings
// are reloaded.
func ReloadedKeys() []string {
	return []string{"Bounds.RetryRatio", "Bounds.RetryFloor", "Bounds.RetryWindow", "Bounds.Version", "Bounds.Grace"}
}

// ChangedKeys returns the keys whose values differ in next, in the order of the settings
// page.
func (c *Fleet) ChangedKeys(next Fleet) []string {
	var changed []string
	from, to := reflect.ValueOf(*c), reflect.ValueOf(next)
	for i := range from.NumField() {
		table := from.Type().Field(i).Name
		if from.Field(i).Kind() != reflect.Struct {
			if !reflect.DeepEqual(from.Field(i).Interface(), to.Field(i).Interface()) {
				changed = append(changed, table)
			}
			continue
		}
		for j := range from.Field(i).NumField() {
			if !reflect.DeepEqual(from.Field(i).Field(j).Interface(), to.Field(i).Field(j).Interface()) {
				changed = append(changed, table+"."+from.Field(i).Type().Field(j).Name)
			}
		}
	}
	return changed
}
