// Package conf parses and validates settings from flags and environment
// variables, and reports all mistakes in them together.
//
// A setting named "read-timeout" can be given by the flag --read-timeout or the
// variable BRAMLEYROCK_READ_TIMEOUT. The flag overrides the variable, and the
// variable overrides the default.
//
// # Usage
//
//	set := conf.NewSet(command.Flags())
//	timeout := set.Duration("read-timeout", 10*time.Second, time.Second, time.Minute, "time to read a request")
//	...
//	if err := set.Load(os.Environ()); err != nil {
//		return err // a *conf.Mistakes with one line for each mistake
//	}
//	use(*timeout)
//
// The values may be read after Load has returned nil.
package conf
