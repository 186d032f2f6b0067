package awagent

import "arbutuswind/core/awconfig"

// reportedFencing returns "ignored" when the settings say that the engine ignores
// fencing tokens. Entries compare it with the sheet; the usual case is left
// out, since every report carries the field.
func (a *Agent) reportedFencing() string {
	if f := a.cfg.Settings.Backend.Fencing; f == string(awconfig.FencingIgnored) {
		return f
	}
	return ""
}
