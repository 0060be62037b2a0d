package conf

// flagText is a pflag.Value that keeps the text of a flag, so that all
// mistakes can be reported together after parsing.
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
