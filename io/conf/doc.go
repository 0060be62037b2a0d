// Package conf reads settings from flags and environment variables into
// checked values, and names every mistake at once.
//
// A setting named "read-timeout" is the flag --read-timeout and the variable
// BRAMLEYROCK_READ_TIMEOUT; the flag goes before the variable, and the
// variable before the default.
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
