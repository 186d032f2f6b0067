package awagent

import "arbutuswind/core/awconfig"

// reportedFencing returns "ignored" if the settings say that the engine ignores
// fencing tokens, and "" otherwise. Entries compare it with the sheet. The
// usual case is empty because every report carries the field.
func (a *Agent) reportedFencing() string {
	if f := a.cfg.Settings.Backend.Fencing; f == string(awconfig.FencingIgnored) {
		return f
	}
	return ""
}
