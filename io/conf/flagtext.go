package conf

// flagText is a pflag.Value that stores the text of a flag without parsing it, so
// that [Set.Load] can report all mistakes together.
type flagText struct {
	setting *Setting
}

// String implements pflag.Value.
func (f *flagText) String() string {
	if f.setting == nil {
		return ""
	}
	return f.setting.text
}

// Set implements pflag.Value.
func (f *flagText) Set(text string) error {
	f.setting.text = text
	return nil
}

// Type implements pflag.Value.
func (f *flagText) Type() string { return "value" }
