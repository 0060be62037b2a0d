package forms

// WaveAction is what a wave does to each host.
type WaveAction string

// ActionReboot restarts each host.
const ActionReboot WaveAction = "reboot"
